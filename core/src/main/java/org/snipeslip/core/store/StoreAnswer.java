package org.snipeslip.core.store;

import java.util.List;

/** The result of an object API call. */
public sealed interface StoreAnswer {
    /**
     * The object that was read, or that a watch found changed.
     *
     * @param object the object
     */
    record Found(StoredObject object) implements StoreAnswer {}

    /** No object has this key. */
    record Absent() implements StoreAnswer {}

    /**
     * The write took effect.
     *
     * @param version new version of the object; 0 after a deletion
     */
    record Written(long version) implements StoreAnswer {}

    /** The condition of a write was not met, so the write had no effect. */
    record Conflict() implements StoreAnswer {}

    /**
     * The objects whose keys start with a prefix.
     *
     * @param objects the objects, sorted by key
     */
    record Listed(List<StoredObject> objects) implements StoreAnswer {}

    /** A watch ended without a change of the object. */
    record Unchanged() implements StoreAnswer {}

    /**
     * The platform's instance list.
     *
     * @param instances the entries
     */
    record Instances(List<ListedInstance> instances) implements StoreAnswer {}

    /**
     * The call failed.
     *
     * @param reason why it failed, and thereby whether a write may have taken effect
     */
    record Failed(StoreFailure reason) implements StoreAnswer {}
}
