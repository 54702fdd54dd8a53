package org.snipeslip.core.discovery;

/**
 * One object of the store as of its last change.
 *
 * @param name name, unique within its kind
 * @param revision revision of its last change
 * @param deleted whether that change deleted the object
 * @param record decoded content; ignored if the object was deleted
 */
public record DiscoveryObject(
        String name, long revision, boolean deleted, DiscoveryRecord record) {}
