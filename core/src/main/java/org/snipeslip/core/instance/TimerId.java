package org.snipeslip.core.instance;

/**
 * Identifies a timer. Setting a timer replaces an earlier one with the same identifier.
 *
 * @param owner the engine that set it
 * @param key identifies the timer among those of the engine
 */
public record TimerId(EngineName owner, String key) {}
