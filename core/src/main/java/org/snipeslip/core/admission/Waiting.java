package org.snipeslip.core.admission;

/**
 * A call in the queue.
 *
 * @param value the call
 * @param flow the line it waits in
 * @param enqueuedNanos when it was added
 * @param deadlineNanos when it is useless to send it
 * @param <T> type of the call
 */
public record Waiting<T>(T value, FlowKey flow, long enqueuedNanos, long deadlineNanos) {}
