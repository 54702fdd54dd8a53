package org.snipeslip.core.call;

/**
 * The instances that share a bound on their sum.
 *
 * @param instances how many there are, at least 1
 * @param ownIndex position of this instance among them, from 0
 */
public record FleetShare(int instances, int ownIndex) {}
