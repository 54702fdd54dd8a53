package org.snipeslip.core.store;

/** A call to the platform's object API. */
public sealed interface StoreRequest {
    /**
     * Reads one object.
     *
     * @param key the object's key
     */
    record Read(String key) implements StoreRequest {}

    /**
     * Writes an object only if the key does not exist.
     *
     * @param key the object's key
     * @param value UTF-8 text of at most 1 MiB
     */
    record Create(String key, String value) implements StoreRequest {}

    /**
     * Replaces an object only if its version is the expected one.
     *
     * @param key the object's key
     * @param value UTF-8 text of at most 1 MiB
     * @param expectedVersion the version that the writer has read
     */
    record Update(String key, String value, long expectedVersion) implements StoreRequest {}

    /**
     * Deletes an object only if its version is the expected one.
     *
     * @param key the object's key
     * @param expectedVersion the version that the writer has read
     */
    record Delete(String key, long expectedVersion) implements StoreRequest {}

    /**
     * Lists objects in order of their keys.
     *
     * @param prefix common prefix of the keys
     */
    record ListPrefix(String prefix) implements StoreRequest {}

    /**
     * Waits until an object's version differs from the one known.
     *
     * @param key the object's key
     * @param knownVersion the version known to the reader, 0 for "absent"
     * @param waitMillis longest wait in milliseconds
     */
    record Watch(String key, long knownVersion, long waitMillis) implements StoreRequest {}

    /** Reads the platform's list of live and leaving instances, which lags. */
    record ReadInstances() implements StoreRequest {}
}
