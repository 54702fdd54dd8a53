package org.snipeslip.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.snipeslip.core.config.CallClass;

/**
 * The bounded queue of one service: interactive before batch, within a class by rank, and within a
 * rank start-time fair queueing between organisations by weight. Every fourth call is taken from a
 * lower rank if one waits, so that no rank starves. When the queue is full, the newest call of the
 * largest flow of the lowest rank is evicted.
 *
 * @param <T> type of the calls
 */
public final class WaitingQueue<T> {
    /** One of this number of calls is taken from a lower rank. */
    private static final int LOWER_RANK_INTERVAL = 4;

    /** A rank that holds at most this part of the queue is evicted only if no other holds more. */
    private static final int PROTECTED_PARTS = 8;

    private final int limit;

    /** Iterated in insertion order, as the hash of an enum constant differs between processes. */
    private final Map<FlowKey, Flow<T>> flows = new LinkedHashMap<>();

    private final Map<RankedClass, Double> virtualTimes = new HashMap<>();
    private final int[] takenBeforeLower = new int[CallClass.values().length];
    private final int[] sizes = new int[CallClass.values().length];
    private long round;

    /**
     * Creates an empty queue.
     *
     * @param limit maximum number of queued calls
     */
    public WaitingQueue(int limit) {
        this.limit = limit;
    }

    /**
     * Adds a call. If the queue is full, the caller must first remove the call that {@link
     * #findEviction} returns.
     *
     * @param waiting the call
     * @param weight weight of its organisation; values below 1 count as 1
     */
    public void add(Waiting<T> waiting, int weight) {
        Flow<T> flow = flows.get(waiting.flow());
        if (flow == null) {
            flow = new Flow<>(waiting.flow(), weight);
            flow.startTag = virtualTimes.getOrDefault(RankedClass.of(flow.key), 0.0);
            flows.put(waiting.flow(), flow);
        }
        flow.waiting.add(waiting);
        sizes[waiting.flow().callClass().ordinal()]++;
    }

    /** Starts a dispatch round, in which no flow is blocked at first. */
    public void beginRound() {
        round++;
    }

    /**
     * Returns the next call of the flows that are not blocked.
     *
     * @return the call, still in the queue, or null
     */
    public Waiting<T> head() {
        Flow<T> best = best(null);
        if (best == null) {
            return null;
        }
        boolean lowerTurn =
                takenBeforeLower[best.key.callClass().ordinal()] >= LOWER_RANK_INTERVAL - 1;
        Flow<T> lower = lowerTurn ? best(best.key) : null;
        return (lower == null ? best : lower).waiting.peek();
    }

    /**
     * Blocks the flow of a call for the rest of the round.
     *
     * @param waiting the call that cannot be sent now
     */
    public void block(Waiting<T> waiting) {
        flows.get(waiting.flow()).blockedInRound = round;
    }

    /**
     * Removes the call that {@link #head} returned and advances the start tag of its flow.
     *
     * @param waiting the call
     */
    public void take(Waiting<T> waiting) {
        Flow<T> flow = flows.get(waiting.flow());
        int callClass = flow.key.callClass().ordinal();
        takenBeforeLower[callClass] = best(flow.key) == null ? 0 : takenBeforeLower[callClass] + 1;
        virtualTimes.put(RankedClass.of(flow.key), flow.startTag);
        flow.startTag += 1.0 / flow.weight;
        remove(waiting);
    }

    /**
     * Removes a call without advancing the start tag of its flow.
     *
     * @param waiting the call
     * @return whether it was in the queue
     */
    public boolean remove(Waiting<T> waiting) {
        Flow<T> flow = flows.get(waiting.flow());
        if (flow == null || !flow.waiting.remove(waiting)) {
            return false;
        }
        sizes[waiting.flow().callClass().ordinal()]--;
        if (flow.waiting.isEmpty()) {
            flows.remove(waiting.flow());
        }
        return true;
    }

    /**
     * Returns the queued calls that match a condition.
     *
     * @param condition the condition to match
     * @return the calls, still in the queue
     */
    public List<Waiting<T>> select(Predicate<Waiting<T>> condition) {
        List<Waiting<T>> selected = new ArrayList<>();
        for (Flow<T> flow : flows.values()) {
            for (Waiting<T> waiting : flow.waiting) {
                if (condition.test(waiting)) {
                    selected.add(waiting);
                }
            }
        }
        return selected;
    }

    /**
     * Finds the call to refuse when the queue is full: the newest call of the largest flow of the
     * lowest class that is queued, or the new call itself.
     *
     * @param arriving the new call
     * @return the call to refuse, or null if there is room
     */
    public Waiting<T> findEviction(Waiting<T> arriving) {
        if (size() < limit) {
            return null;
        }
        CallClass lowest = size(CallClass.BATCH) > 0 ? CallClass.BATCH : CallClass.INTERACTIVE;
        if (arriving.flow().callClass().ordinal() > lowest.ordinal()) {
            return arriving;
        }
        CallRank rank = rankToEvict(lowest);
        Flow<T> largest = null;
        for (Flow<T> flow : flows.values()) {
            if (flow.key.callClass() == lowest
                    && flow.key.rank().equals(rank)
                    && (largest == null || flow.share() > largest.share())) {
                largest = flow;
            }
        }
        boolean lowerRank =
                arriving.flow().callClass() == lowest && arriving.flow().rank().compareTo(rank) > 0;
        if (largest == null || lowerRank && count(lowest, arriving.flow().rank()) > 0) {
            return arriving;
        }
        Flow<T> own = flows.get(arriving.flow());
        boolean ownIsLargest =
                arriving.flow().callClass() == lowest
                        && arriving.flow().rank().equals(rank)
                        && own != null
                        && own.share() >= largest.share();
        return ownIsLargest ? arriving : largest.waiting.peekLast();
    }

    /**
     * Tells whether a flow is the largest of its class while other organisations have queued calls
     * in that class, so that a refusal is due to fair sharing.
     *
     * @param key key of the flow
     * @return true if the organisation holds more than its share of the queue
     */
    public boolean isOverShare(FlowKey key) {
        Flow<T> own = flows.get(key);
        boolean shared = false;
        for (Flow<T> flow : flows.values()) {
            if (own == null
                    || flow.key.callClass() != key.callClass()
                    || !flow.key.rank().equals(key.rank())) {
                continue;
            }
            if (flow.share() > own.share()) {
                return false;
            }
            shared |= !Objects.equals(flow.key.organisation(), key.organisation());
        }
        return shared;
    }

    /**
     * Counts the calls that would be sent before a new one of a class.
     *
     * @param callClass the class
     * @return the calls of this and higher classes
     */
    public int ahead(CallClass callClass) {
        return callClass == CallClass.INTERACTIVE ? size(CallClass.INTERACTIVE) : size();
    }

    /**
     * Returns the number of queued calls.
     *
     * @return the number, from 0 to the limit
     */
    public int size() {
        return size(CallClass.INTERACTIVE) + size(CallClass.BATCH);
    }

    private int size(CallClass callClass) {
        return sizes[callClass.ordinal()];
    }

    /**
     * Returns the next flow that is not blocked; if a key is given, of lower ranks of its class.
     */
    private Flow<T> best(FlowKey above) {
        Flow<T> best = null;
        for (Flow<T> flow : flows.values()) {
            boolean counts =
                    above == null
                            || flow.key.callClass() == above.callClass()
                                    && flow.key.rank().compareTo(above.rank()) > 0;
            if (counts && flow.blockedInRound != round && (best == null || isBefore(flow, best))) {
                best = flow;
            }
        }
        return best;
    }

    /** Returns the lowest rank of a class that is not protected, else the highest one queued. */
    private CallRank rankToEvict(CallClass callClass) {
        TreeSet<CallRank> ranks = new TreeSet<>();
        for (Flow<T> flow : flows.values()) {
            if (flow.key.callClass() == callClass) {
                ranks.add(flow.key.rank());
            }
        }
        for (CallRank rank : ranks.descendingSet()) {
            if (count(callClass, rank) > limit / PROTECTED_PARTS) {
                return rank;
            }
        }
        return ranks.isEmpty() ? null : ranks.first();
    }

    private int count(CallClass callClass, CallRank rank) {
        int count = 0;
        for (Flow<T> flow : flows.values()) {
            if (flow.key.callClass() == callClass && flow.key.rank().equals(rank)) {
                count += flow.waiting.size();
            }
        }
        return count;
    }

    /** Breaks ties by age, so that the order does not depend on the hash order. */
    private boolean isBefore(Flow<T> flow, Flow<T> other) {
        int byClass = flow.key.callClass().compareTo(other.key.callClass());
        if (byClass != 0) {
            return byClass < 0;
        }
        int byRank = flow.key.rank().compareTo(other.key.rank());
        if (byRank != 0) {
            return byRank < 0;
        }
        int byTag = Double.compare(flow.startTag, other.startTag);
        if (byTag != 0) {
            return byTag < 0;
        }
        return flow.waiting.peek().enqueuedNanos() < other.waiting.peek().enqueuedNanos();
    }

    /** Flows that are queued fairly among each other. */
    private record RankedClass(CallClass callClass, CallRank rank) {
        static RankedClass of(FlowKey key) {
            return new RankedClass(key.callClass(), key.rank());
        }
    }
}
