package org.snipeslip.core.config;

/**
 * A configuration object and the source that it was read from.
 *
 * @param source file or key, as shown in messages
 * @param object the object
 * @param sizeBytes size of its stored form
 */
public record SourcedObject(String source, ConfigObject object, long sizeBytes) {}
