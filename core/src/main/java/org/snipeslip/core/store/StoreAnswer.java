package org.snipeslip.core.store;

import java.util.List;

/** The end of an object API call. */
public sealed interface StoreAnswer {
    /**
     * The object as read, or as it stands after a watch fired.
     *
     * @param object the object
     */
    record Found(StoredObject object) implements StoreAnswer {}

    /** The key does not exist. */
    record Absent() implements StoreAnswer {}

    /**
     * The write took effect.
     *
     * @param version the object's new version; 0 after a deletion
     */
    record Written(long version) implements StoreAnswer {}

    /** The condition of a write did not hold, so it had no effect. */
    record Conflict() implements StoreAnswer {}

    /**
     * The objects below a prefix.
     *
     * @param objects in order of their keys
     */
    record Listed(List<StoredObject> objects) implements StoreAnswer {}

    /** A watch ended with no change. */
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
     * @param reason what is known of its effect
     */
    record Failed(StoreFailure reason) implements StoreAnswer {}
}
