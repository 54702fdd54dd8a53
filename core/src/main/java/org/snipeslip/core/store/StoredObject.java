package org.snipeslip.core.store;

/**
 * An object as returned by the object API.
 *
 * @param key the object's key
 * @param value UTF-8 text
 * @param version increases with each write of the object; never 0
 */
public record StoredObject(String key, String value, long version) {}
