package org.snipeslip.core.control;

/** Issues the numbers of the object API calls of the control engine. */
final class StoreCallNumbers {
    private long last;

    long next() {
        return ++last;
    }
}
