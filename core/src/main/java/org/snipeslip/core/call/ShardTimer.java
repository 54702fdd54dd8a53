package org.snipeslip.core.call;

import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;

/** The single timer of a shard, set to the earliest of its due times. */
final class ShardTimer {
    /** No due time. */
    static final long NEVER = Long.MAX_VALUE;

    private final TimerId id;
    private long scheduledNanos = NEVER;

    ShardTimer(ServiceId service) {
        id = new TimerId(EngineName.CALL, service.value());
    }

    void fired() {
        scheduledNanos = NEVER;
    }

    void scheduleBy(long dueNanos, long nowNanos, Outbox outbox) {
        if (dueNanos < scheduledNanos) {
            scheduledNanos = dueNanos;
            outbox.add(new Action.SetTimer(id, Math.max(0, dueNanos - nowNanos), true));
        }
    }
}
