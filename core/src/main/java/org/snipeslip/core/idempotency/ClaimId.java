package org.snipeslip.core.idempotency;

import org.snipeslip.core.id.InstanceId;

/**
 * Identifies a claim.
 *
 * @param instance instance that sent the claim
 * @param incarnation incarnation of the sending process
 * @param number number of the claim, unique for the incarnation
 */
record ClaimId(InstanceId instance, long incarnation, long number) {}
