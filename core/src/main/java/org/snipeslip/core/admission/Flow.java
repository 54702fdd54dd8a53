package org.snipeslip.core.admission;

import java.util.ArrayDeque;

/** The FIFO queue of the calls of one {@link FlowKey}. */
final class Flow<T> {
    final FlowKey key;
    final int weight;
    final ArrayDeque<Waiting<T>> waiting = new ArrayDeque<>(4);
    double startTag;
    long blockedInRound;

    Flow(FlowKey key, int weight) {
        this.key = key;
        this.weight = Math.max(1, weight);
    }

    double share() {
        return (double) waiting.size() / weight;
    }
}
