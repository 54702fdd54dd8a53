package org.snipeslip.core.detour;

/**
 * A change of what is believed about the links to the backend servers.
 *
 * @param before state before
 * @param now state from now on
 * @param unreachable servers that were not reached, without an answer of any server since
 * @param failureDomains number of their failure domains
 * @param silentNanos time since the first of them was not reached
 */
public record LinkChange(
        LinkState before, LinkState now, int unreachable, int failureDomains, long silentNanos) {}
