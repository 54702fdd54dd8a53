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
     * @param expectedVersion version that the writer has read
     */
    record Update(String key, String value, long expectedVersion) implements StoreRequest {}

    /**
     * Deletes an object only if its version is the expected one.
     *
     * @param key the object's key
     * @param expectedVersion version that the writer has read
     */
    record Delete(String key, long expectedVersion) implements StoreRequest {}

    /**
     * Lists the objects whose keys start with a prefix, sorted by key.
     *
     * @param prefix prefix of the keys
     */
    record ListPrefix(String prefix) implements StoreRequest {}

    /**
     * Waits until the version of an object differs from a known version.
     *
     * @param key the object's key
     * @param knownVersion version known to the reader; 0 if the object did not exist
     * @param waitMillis maximum wait
     */
    record Watch(String key, long knownVersion, long waitMillis) implements StoreRequest {}

    /** Reads the platform's list of live and leaving instances, which may be out of date. */
    record ReadInstances() implements StoreRequest {}
}
