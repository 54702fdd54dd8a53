package org.snipeslip.core.admission;

/**
 * A queued call.
 *
 * @param value the call
 * @param flow key of the flow in which it is queued
 * @param enqueuedNanos time at which it was queued
 * @param deadlineNanos time after which it is not sent any more
 * @param <T> type of the call
 */
public record Waiting<T>(T value, FlowKey flow, long enqueuedNanos, long deadlineNanos) {}
