package org.snipeslip.core.call;

/**
 * The part of this instance in limits that apply to the sum over all instances.
 *
 * @param instances number of instances that share the limits, at least 1
 * @param ownIndex position of this instance among them, from 0
 */
public record InstanceShare(int instances, int ownIndex) {}
