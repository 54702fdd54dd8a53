package org.snipeslip.core.config;

/**
 * One configuration object in its stored form, addressed by its content.
 *
 * @param digest SHA-256 of the text in hexadecimal; also its key below {@code config/part/}
 * @param text JSON text of the object
 */
public record ConfigPart(String digest, String text) {}
