package org.snipeslip.core.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.peer.PeerAddress;

/** A simulated instance with its own clock. It can be paused, crashed and restarted. */
final class IdempotencyNode {
    final InstanceId id;
    final RegionId region;
    final Map<TimerId, Long> timers = new HashMap<>();
    final List<Runnable> deferredSteps = new ArrayList<>();
    final Map<String, List<Long>> writesNanos = new HashMap<>();
    final List<Long> readsNanos = new ArrayList<>();
    IdempotencyEngine engine;
    long incarnation;
    boolean up;
    boolean leaving;
    boolean paused;
    long viewFrozenUntilNanos;
    private final long clockOffsetNanos;
    private final double clockRate;

    IdempotencyNode(String name, String region, long clockOffsetNanos, double clockRate) {
        this.id = new InstanceId(name);
        this.region = new RegionId(region);
        this.clockOffsetNanos = clockOffsetNanos;
        this.clockRate = clockRate;
    }

    void start(IdempotencySettings settings) {
        incarnation++;
        up = true;
        leaving = false;
        paused = false;
        viewFrozenUntilNanos = 0;
        timers.clear();
        deferredSteps.clear();
        writesNanos.clear();
        readsNanos.clear();
        engine = new IdempotencyEngine(id, region, incarnation, settings, incarnation);
    }

    long localNanos(long simulatedNanos) {
        return (long) (simulatedNanos * clockRate) + clockOffsetNanos;
    }

    MemberUpdate member() {
        return new MemberUpdate(
                id,
                new PeerAddress(id.value(), 1),
                new FailureDomainId(region.value() + "-1"),
                region,
                incarnation,
                leaving ? MemberStatus.LEAVING : MemberStatus.ALIVE);
    }
}
