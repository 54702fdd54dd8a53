package org.snipeslip.core.discovery;

/**
 * One stored object as read at a revision.
 *
 * @param name its name within its kind
 * @param revision revision of its last change
 * @param deleted whether that change removed it
 * @param record what it says; ignored if it was removed
 */
public record FleetObject(String name, long revision, boolean deleted, FleetRecord record) {}
