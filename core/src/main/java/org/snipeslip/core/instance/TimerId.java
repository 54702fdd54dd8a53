package org.snipeslip.core.instance;

/**
 * Names a timer. A second timer of the same name replaces the first.
 *
 * @param owner the engine that set it
 * @param key tells the engine's timers apart
 */
public record TimerId(EngineName owner, String key) {}
