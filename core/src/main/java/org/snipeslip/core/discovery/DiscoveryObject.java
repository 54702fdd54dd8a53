package org.snipeslip.core.discovery;

import java.util.function.Supplier;

/**
 * One object of the store as of its last change.
 *
 * @param name name, unique within its kind
 * @param revision revision of its last change
 * @param deleted whether that change deleted the object
 * @param record decoded content; ignored if the object was deleted
 * @param encoded returns the content in the format of the store, for other instances; null if the
 *     object was deleted or is not to be passed on
 */
public record DiscoveryObject(
        String name,
        long revision,
        boolean deleted,
        DiscoveryRecord record,
        Supplier<String> encoded) {
    /**
     * Creates an object that is not passed on to other instances.
     *
     * @param name name, unique within its kind
     * @param revision revision of its last change
     * @param deleted whether that change deleted the object
     * @param record decoded content
     */
    public DiscoveryObject(String name, long revision, boolean deleted, DiscoveryRecord record) {
        this(name, revision, deleted, record, null);
    }

    static DiscoveryObject deleted(String name, long revision) {
        return new DiscoveryObject(name, revision, true, null);
    }
}
