package org.snipeslip.core.once;

/** A claim as its owner sees it. */
record Ask(Grantee from, String digest, String fingerprint, long arrivedNanos) {}
