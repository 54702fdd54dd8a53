package org.snipeslip.core.store;

import org.snipeslip.core.instance.EngineName;

/**
 * Identifies an object API call of an instance.
 *
 * @param owner engine that made the call and receives the answer
 * @param number number of the call, unique for the engine
 */
public record StoreCallId(EngineName owner, long number) {}
