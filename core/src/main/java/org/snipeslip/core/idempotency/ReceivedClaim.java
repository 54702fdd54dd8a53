package org.snipeslip.core.idempotency;

/** A claim received by the owner of its partition. */
record ReceivedClaim(ClaimId claimId, String digest, String fingerprint, long arrivedNanos) {}
