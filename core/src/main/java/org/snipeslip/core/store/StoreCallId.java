package org.snipeslip.core.store;

import org.snipeslip.core.instance.EngineName;

/**
 * Names one object API call of an instance.
 *
 * @param owner the engine that made it and gets the answer
 * @param number tells the engine's calls apart
 */
public record StoreCallId(EngineName owner, long number) {}
