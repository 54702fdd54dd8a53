package org.snipeslip.core.config;

/**
 * An object together with where it was read from.
 *
 * @param source file or key, for messages
 * @param object the object
 * @param sizeBytes size of its stored form
 */
public record SourcedObject(String source, ConfigObject object, long sizeBytes) {}
