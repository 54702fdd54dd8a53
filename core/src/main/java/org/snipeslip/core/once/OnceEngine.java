package org.snipeslip.core.once;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.ClaimMessage.Verdict;

/**
 * At-most-once claims: asks the owner of a key's partition for the right to send a call, and owns
 * partitions itself. Every method takes the once lock, the second in the lock order. The shell must
 * end every object API call with an answer, a failure after a time-out included.
 *
 * <p>At most {@code maxGroups} groups of region-bound calls are served; asks for further ones are
 * refused with unknown outcome.
 */
public final class OnceEngine {
    private final Scope scope;
    private final RegionId region;
    private final AskTracker asks;
    private final Map<PartitionId, Partition> partitions = new LinkedHashMap<>();
    private final Map<String, PartitionId> partitionByTimer = new LinkedHashMap<>();

    private boolean configured;
    private Set<RegionId> objectApiRegions = Set.of();

    /**
     * Creates an engine that owns nothing.
     *
     * @param self name of this instance
     * @param region region of this instance
     * @param incarnation incarnation of this process
     * @param settings its settings
     * @param seed seed of the back-off times
     */
    public OnceEngine(
            InstanceId self, RegionId region, long incarnation, OnceSettings settings, long seed) {
        this.scope = new Scope(self, incarnation, settings, new SplittableRandom(seed));
        this.region = region;
        this.asks = new AskTracker(scope);
    }

    /**
     * Takes a claim; the decision may come later.
     *
     * @param claim the claim
     * @param nowNanos the time
     * @param outbox takes the actions and the decision
     */
    public synchronized void claim(ClaimRequest claim, long nowNanos, Outbox outbox) {
        scope.use(outbox);
        if (!configured) {
            asks.refuseUnasked(claim.request(), RefusalReason.NOT_READY);
        } else if (!scope.ranking.isKnown() || !claim.homeRegions().allows(region)) {
            asks.refuseUnasked(claim.request(), RefusalReason.ONCE_UNAVAILABLE);
        } else {
            asks.claim(claim, GroupName.of(claim.homeRegions(), objectApiRegions), nowNanos);
        }
        drainLoopback(nowNanos);
    }

    /**
     * Takes the end of a granted call.
     *
     * @param end how it ended
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public synchronized void end(ClaimEnd end, long nowNanos, Outbox outbox) {
        scope.use(outbox);
        asks.end(end);
        drainLoopback(nowNanos);
    }

    /**
     * Takes a peer message, timer or object API answer of this engine.
     *
     * @param event the event; others are ignored
     * @param nowNanos the time
     * @param outbox takes the actions and decisions
     */
    public synchronized void handle(Event event, long nowNanos, Outbox outbox) {
        scope.use(outbox);
        switch (event) {
            case Event.PeerReceived received -> {
                if (received.message() instanceof ClaimMessage message) {
                    receive(received.from(), message, nowNanos);
                }
            }
            case Event.StoreAnswered answered -> {
                Partition partition = scope.callEnded(answered.call().number());
                if (partition != null) {
                    partition.answered(answered.call().number(), answered.answer(), nowNanos);
                    partition.run(nowNanos);
                }
            }
            case Event.TimerFired fired -> {
                String key = fired.timer().key();
                PartitionId id = partitionByTimer.get(key);
                if (!asks.timerFired(key, nowNanos) && id != null) {
                    partitions.get(id).timerFired(nowNanos);
                }
            }
            default -> {
                // Events of the other engines.
            }
        }
        drainLoopback(nowNanos);
    }

    /**
     * Takes a new configuration.
     *
     * @param config the configuration in force
     * @param nowNanos the time
     * @param outbox takes the actions and decisions
     */
    public synchronized void configure(ConfigSet config, long nowNanos, Outbox outbox) {
        scope.use(outbox);
        configured = config.generation().number() > 0;
        objectApiRegions =
                config.homeRegions().values().stream()
                        .filter(HomeRegion::hostsObjectApi)
                        .map(HomeRegion::id)
                        .collect(Collectors.toUnmodifiableSet());
        runAll(nowNanos);
    }

    /**
     * Takes a new view of the members.
     *
     * @param view the view
     * @param nowNanos the time
     * @param outbox takes the actions and decisions
     */
    public synchronized void membersChanged(MemberView view, long nowNanos, Outbox outbox) {
        scope.use(outbox);
        scope.ranking.update(view);
        runAll(nowNanos);
    }

    /**
     * Begins to hand partitions over before a planned stop.
     *
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public synchronized void startHandover(long nowNanos, Outbox outbox) {
        scope.use(outbox);
        scope.stop();
        runAll(nowNanos);
    }

    /**
     * Tells whether every partition was handed over.
     *
     * @return true if this instance owns nothing any more
     */
    public synchronized boolean isHandedOver() {
        return partitions.values().stream().noneMatch(Partition::isHeld);
    }

    private void runAll(long nowNanos) {
        if (configured && scope.ranking.isKnown()) {
            for (int number = 0; number < scope.settings.durablePartitions(); number++) {
                partition(new PartitionId(GroupName.ANY, number), nowNanos);
            }
        }
        for (Partition partition : new ArrayList<>(partitions.values())) {
            partition.run(nowNanos);
        }
        drainLoopback(nowNanos);
    }

    private void drainLoopback(long nowNanos) {
        ClaimMessage message;
        while ((message = scope.pollLoopback()) != null) {
            receive(scope.self, message, nowNanos);
        }
    }

    private void receive(InstanceId from, ClaimMessage message, long nowNanos) {
        switch (message) {
            case ClaimMessage.ClaimAsk ask -> asked(from, ask, nowNanos);
            case ClaimMessage.ClaimReply reply -> asks.replied(from, reply, nowNanos);
            case ClaimMessage.ClaimOutcome outcome -> {
                Partition partition = partition(outcome.group(), outcome.partition(), nowNanos);
                if (partition != null) {
                    Grantee grantee = new Grantee(from, outcome.incarnation(), outcome.claim());
                    partition.outcome(grantee, outcome, nowNanos);
                    partition.run(nowNanos);
                }
            }
            case ClaimMessage.OwnershipHandover handover -> {
                Partition partition = partition(handover.group(), handover.partition(), nowNanos);
                if (partition != null) {
                    partition.handover(from, handover, nowNanos);
                    partition.run(nowNanos);
                }
            }
        }
    }

    private void asked(InstanceId from, ClaimMessage.ClaimAsk message, long nowNanos) {
        Grantee grantee = new Grantee(from, message.incarnation(), message.claim());
        Ask ask = new Ask(grantee, message.keyDigest(), message.fingerprint(), nowNanos);
        Partition partition = partition(message.group(), message.partition(), nowNanos);
        if (partition == null) {
            scope.reply(ask, Verdict.UNAVAILABLE_UNKNOWN);
        } else {
            partition.ask(ask, nowNanos);
            partition.run(nowNanos);
        }
    }

    /** The partition, or null if this instance must not or cannot serve it. */
    private Partition partition(String group, int number, long nowNanos) {
        GroupName name = new GroupName(group);
        boolean valid = number >= 0 && number < name.partitions(scope.settings);
        boolean ready = configured && scope.ranking.isKnown();
        return valid && ready && name.allows(region)
                ? partition(new PartitionId(name, number), nowNanos)
                : null;
    }

    private Partition partition(PartitionId id, long nowNanos) {
        Partition known = partitions.get(id);
        int limit =
                scope.settings.durablePartitions()
                        + scope.settings.maxGroups() * scope.settings.boundPartitions();
        if (known != null || partitions.size() >= limit) {
            return known;
        }
        Partition created =
                id.group().isDurable()
                        ? new DurablePartition(id, scope, nowNanos)
                        : new BoundPartition(id, scope, nowNanos);
        partitions.put(id, created);
        partitionByTimer.put(id.timerKey(), id);
        return created;
    }
}
