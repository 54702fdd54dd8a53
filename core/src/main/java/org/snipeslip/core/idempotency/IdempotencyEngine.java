package org.snipeslip.core.idempotency;

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
 * Ensures that calls with an idempotency key are executed at most once. Before such a call is sent,
 * the engine claims its key from the owner of the key's partition. The engine also owns partitions
 * and decides on the claims of other instances. Every method acquires the engine's lock, which is
 * second in the lock order. The I/O layer must complete every object API call with an answer, after
 * a time-out with a failure.
 *
 * <p>At most {@link IdempotencySettings#maxBoundGroups()} groups of region-bound calls are served;
 * claims for further groups are refused with an unknown outcome.
 */
public final class IdempotencyEngine {
    private final IdempotencyContext context;
    private final RegionId region;
    private final ClaimClient claimClient;
    private final Map<PartitionId, Partition> partitions = new LinkedHashMap<>();
    private final Map<String, PartitionId> partitionByTimer = new LinkedHashMap<>();

    private boolean configured;
    private Set<RegionId> objectApiRegions = Set.of();

    /**
     * Creates an engine that owns no partitions.
     *
     * @param self name of this instance
     * @param region region of this instance
     * @param incarnation incarnation of this process
     * @param settings settings of the engine
     * @param seed seed for the jitter of the back-off
     */
    public IdempotencyEngine(
            InstanceId self,
            RegionId region,
            long incarnation,
            IdempotencySettings settings,
            long seed) {
        this.context =
                new IdempotencyContext(self, incarnation, settings, new SplittableRandom(seed));
        this.region = region;
        this.claimClient = new ClaimClient(context);
    }

    /**
     * Claims the key of a call. The decision is added to the outbox now or by a later event.
     *
     * @param claim the call and its key
     * @param nowNanos current time on the engine's clock
     * @param outbox receives the actions and the decision
     */
    public synchronized void claim(ClaimRequest claim, long nowNanos, Outbox outbox) {
        context.setOutbox(outbox);
        if (!configured) {
            claimClient.refuseLocally(claim.request(), RefusalReason.NOT_READY);
        } else if (!context.ranking.hasView() || !claim.homeRegions().allows(region)) {
            claimClient.refuseLocally(claim.request(), RefusalReason.ONCE_UNAVAILABLE);
        } else {
            claimClient.claim(claim, GroupName.of(claim.homeRegions(), objectApiRegions), nowNanos);
        }
        drainLoopback(nowNanos);
    }

    /**
     * Reports the end of a granted call to the owner of its key. Other calls are ignored.
     *
     * @param end call and outcome
     * @param nowNanos current time on the engine's clock
     * @param outbox receives the actions
     */
    public synchronized void end(ClaimEnd end, long nowNanos, Outbox outbox) {
        context.setOutbox(outbox);
        claimClient.end(end);
        drainLoopback(nowNanos);
    }

    /**
     * Handles a peer message, timer or object API answer that belongs to this engine.
     *
     * @param event the event; events of other engines are ignored
     * @param nowNanos current time on the engine's clock
     * @param outbox receives the actions and decisions
     */
    public synchronized void handle(Event event, long nowNanos, Outbox outbox) {
        context.setOutbox(outbox);
        switch (event) {
            case Event.PeerMessageReceived received -> {
                if (received.message() instanceof ClaimMessage message) {
                    messageReceived(received.from(), message, nowNanos);
                }
            }
            case Event.StoreAnswered answered -> {
                Partition partition = context.removeCall(answered.call().number());
                if (partition != null) {
                    partition.storeAnswered(answered.call().number(), answered.answer(), nowNanos);
                    partition.run(nowNanos);
                }
            }
            case Event.TimerFired fired -> {
                String key = fired.timer().key();
                PartitionId id = partitionByTimer.get(key);
                if (!claimClient.timerFired(key, nowNanos) && id != null) {
                    partitions.get(id).timerFired(nowNanos);
                }
            }
            default -> {
                // The event belongs to another engine.
            }
        }
        drainLoopback(nowNanos);
    }

    /**
     * Applies a new configuration. Until one with a generation above 0 is applied, every claim is
     * refused.
     *
     * @param config the configuration in force
     * @param nowNanos current time on the engine's clock
     * @param outbox receives the actions and decisions
     */
    public synchronized void configure(ConfigSet config, long nowNanos, Outbox outbox) {
        context.setOutbox(outbox);
        configured = config.generation().number() > 0;
        objectApiRegions =
                config.homeRegions().values().stream()
                        .filter(HomeRegion::hostsObjectApi)
                        .map(HomeRegion::id)
                        .collect(Collectors.toUnmodifiableSet());
        runAll(nowNanos);
    }

    /**
     * Applies a new member view, which may change the preferred owners of partitions.
     *
     * @param view the current members
     * @param nowNanos current time on the engine's clock
     * @param outbox receives the actions and decisions
     */
    public synchronized void membersChanged(MemberView view, long nowNanos, Outbox outbox) {
        context.setOutbox(outbox);
        context.ranking.update(view);
        runAll(nowNanos);
    }

    /**
     * Starts to hand all partitions over to other instances before a planned stop.
     *
     * @param nowNanos current time on the engine's clock
     * @param outbox receives the actions
     */
    public synchronized void startHandover(long nowNanos, Outbox outbox) {
        context.setOutbox(outbox);
        context.startStopping();
        runAll(nowNanos);
    }

    /**
     * Returns whether every partition was handed over.
     *
     * @return true if this instance owns no partition and has no pending takeover
     */
    public synchronized boolean isHandedOver() {
        return partitions.values().stream().noneMatch(Partition::isHeld);
    }

    private void runAll(long nowNanos) {
        if (configured && context.ranking.hasView()) {
            for (int number = 0; number < context.settings.durablePartitions(); number++) {
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
        while ((message = context.pollLoopback()) != null) {
            messageReceived(context.self, message, nowNanos);
        }
    }

    private void messageReceived(InstanceId sender, ClaimMessage message, long nowNanos) {
        switch (message) {
            case ClaimMessage.ClaimAsk claim -> claimReceived(sender, claim, nowNanos);
            case ClaimMessage.ClaimReply reply ->
                    claimClient.replyReceived(sender, reply, nowNanos);
            case ClaimMessage.ClaimOutcome outcome -> {
                Partition partition = partition(outcome.group(), outcome.partition(), nowNanos);
                if (partition != null) {
                    ClaimId claimId = new ClaimId(sender, outcome.incarnation(), outcome.claim());
                    partition.claimEnded(claimId, outcome, nowNanos);
                    partition.run(nowNanos);
                }
            }
            case ClaimMessage.OwnershipHandover handover -> {
                Partition partition = partition(handover.group(), handover.partition(), nowNanos);
                if (partition != null) {
                    partition.handoverReceived(sender, handover, nowNanos);
                    partition.run(nowNanos);
                }
            }
        }
    }

    private void claimReceived(InstanceId sender, ClaimMessage.ClaimAsk message, long nowNanos) {
        ClaimId claimId = new ClaimId(sender, message.incarnation(), message.claim());
        ReceivedClaim claim =
                new ReceivedClaim(claimId, message.keyDigest(), message.fingerprint(), nowNanos);
        Partition partition = partition(message.group(), message.partition(), nowNanos);
        if (partition == null) {
            context.reply(claim, Verdict.UNAVAILABLE_UNKNOWN);
        } else {
            partition.claimReceived(claim, nowNanos);
            partition.run(nowNanos);
        }
    }

    /** Returns the partition, or null if this instance must not or cannot serve it. */
    private Partition partition(String group, int number, long nowNanos) {
        GroupName name = new GroupName(group);
        boolean valid = number >= 0 && number < name.partitions(context.settings);
        boolean ready = configured && context.ranking.hasView();
        return valid && ready && name.allows(region)
                ? partition(new PartitionId(name, number), nowNanos)
                : null;
    }

    private Partition partition(PartitionId id, long nowNanos) {
        Partition existing = partitions.get(id);
        int maxPartitions =
                context.settings.durablePartitions()
                        + context.settings.maxBoundGroups() * context.settings.boundPartitions();
        if (existing != null || partitions.size() >= maxPartitions) {
            return existing;
        }
        Partition created =
                id.group().isDurable()
                        ? new DurablePartition(id, context, nowNanos)
                        : new InMemoryPartition(id, context, nowNanos);
        partitions.put(id, created);
        partitionByTimer.put(id.timerKey(), id);
        return created;
    }
}
