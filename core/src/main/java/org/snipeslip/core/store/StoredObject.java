package org.snipeslip.core.store;

/**
 * An object as the object API returned it.
 *
 * @param key the object's key
 * @param value UTF-8 text
 * @param version grows with each write of the object; never 0
 */
public record StoredObject(String key, String value, long version) {}
