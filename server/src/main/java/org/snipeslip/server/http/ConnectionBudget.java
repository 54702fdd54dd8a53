package org.snipeslip.server.http;

import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.admission.UploadWindow;
import org.snipeslip.server.operator.InstanceMetrics;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Bounds what the connections of callers may occupy together: descriptors, memory for heads, and
 * backend servers that wait for callers. Beyond a bound, the connection that costs most is closed.
 */
public final class ConnectionBudget {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionBudget.class);

    /** Time without progress after which a call gives its backend server to one that waits. */
    private static final long MAX_STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The same while a crowd of such callers is there: it is halved for each of them. */
    private static final long MIN_STALL_NANOS = MAX_STALL_NANOS / 4;

    /** Time without such callers after which they count as single ones again. */
    private static final long CROWD_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long CHECK_PERIOD_MILLIS = 250;
    private static final int MAX_WAITING_CALLS = 64;

    /** Time after which calls that had to wait have been served or refused. */
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Closed connections that may be known beside the open ones. */
    private static final int MAX_CLOSED = 64;

    /** For connections that other instances have bounded. */
    static final ConnectionBudget UNBOUNDED =
            new ConnectionBudget(
                    new ConnectionLimits(Integer.MAX_VALUE, Long.MAX_VALUE), new InstanceMetrics());

    private static final long MAX_HEAD_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(75);
    private static final long LOG_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ConnectionLimits limits;
    private final InstanceMetrics metrics;
    private final Set<CallerChannel> open = ConcurrentHashMap.newKeySet();
    private final Set<CallerChannel> holdingServers = ConcurrentHashMap.newKeySet();
    private final AtomicLong headBytes = new AtomicLong();
    private final AtomicBoolean closing = new AtomicBoolean();
    private final UploadWindow uploads = new UploadWindow();
    private final AtomicInteger openAtSweep = new AtomicInteger();
    private final AtomicInteger waitingCalls = new AtomicInteger();
    private volatile long lastWaitNanos;
    private volatile long lastStallNanos;
    private volatile long stallNanos = MAX_STALL_NANOS;
    private final AtomicBoolean checkScheduled = new AtomicBoolean();
    private final AtomicLong lastLogNanos = new AtomicLong(System.nanoTime() - LOG_PERIOD_NANOS);

    /**
     * Creates a budget without connections.
     *
     * @param limits bounds on the connections together
     * @param metrics counts the connections that are closed
     */
    public ConnectionBudget(ConnectionLimits limits, InstanceMetrics metrics) {
        this.limits = limits;
        this.metrics = metrics;
    }

    int maxConnections() {
        return limits.maxConnections();
    }

    /** Adds a connection; closes another one if there are too many. */
    CallerChannel open(StreamConnection connection) {
        if (open.size() >= Math.min(limits.maxConnections(), openAtSweep.get() + MAX_CLOSED)) {
            forgetClosed();
        }
        while (open.size() >= limits.maxConnections()) {
            close(longestIdle(), "connections");
        }
        CallerChannel channel = new CallerChannel(connection, this);
        open.add(channel);
        return channel;
    }

    /** The close of a connection is not reported before its first request. */
    private void forgetClosed() {
        open.stream().filter(channel -> !channel.isOpen()).toList().forEach(this::forget);
        openAtSweep.set(open.size());
    }

    private void forget(CallerChannel channel) {
        if (open.remove(channel)) {
            headCharged(-channel.forget());
        }
    }

    void headCharged(long bytes) {
        headBytes.addAndGet(bytes);
    }

    /**
     * Closes the connections whose head has not come in time, and those that were idle too long.
     */
    void closeOverdue() {
        long nowNanos = System.nanoTime();
        for (CallerChannel channel : open) {
            if (!channel.isOpen()) {
                forget(channel);
            } else if (channel.isOverdue(nowNanos, MAX_HEAD_NANOS, MAX_IDLE_NANOS)
                    && open.remove(channel)) {
                long bytes = channel.forget();
                channel.close(() -> headCharged(-bytes));
            }
        }
    }

    /**
     * Returns whether more bytes of heads fit. If not, the connection with the costliest head is
     * closed, and the bytes can be read when its memory is free.
     */
    boolean hasRoomForHeads() {
        if (headBytes.get() <= limits.maxHeadBytes()) {
            return true;
        }
        if (closing.compareAndSet(false, true)) {
            CallerChannel costliest = max(CallerChannel::headBytes);
            if (costliest == null || costliest.headBytes() == 0) {
                closing.set(false);
                return true;
            }
            close(costliest, "heads");
        }
        return false;
    }

    void heldServer(CallerChannel channel) {
        holdingServers.add(channel);
    }

    void releasedServer(CallerChannel channel) {
        holdingServers.remove(channel);
    }

    UploadWindow uploads() {
        return uploads;
    }

    /** A call waits for a backend server, or was refused because there was none for it. */
    void callWaits(XnioIoThread ioThread) {
        if (!holdingServers.isEmpty()) {
            lastWaitNanos = System.nanoTime();
            waitingCalls.updateAndGet(count -> Math.min(count + 1, MAX_WAITING_CALLS));
            scheduleCheck(ioThread);
        }
    }

    private void scheduleCheck(XnioIoThread ioThread) {
        if (checkScheduled.compareAndSet(false, true)) {
            ioThread.executeAfter(
                    () -> releaseServers(ioThread), CHECK_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void releaseServers(XnioIoThread ioThread) {
        checkScheduled.set(false);
        long nowNanos = System.nanoTime();
        if (nowNanos - lastStallNanos > CROWD_NANOS) {
            stallNanos = MAX_STALL_NANOS;
        }
        long limitNanos = stallNanos;
        for (CallerChannel channel : holdingServers) {
            if (waitingCalls.get() > 0 && channel.stalledNanos(nowNanos) >= limitNanos) {
                waitingCalls.decrementAndGet();
                lastStallNanos = nowNanos;
                stallNanos = Math.max(MIN_STALL_NANOS, stallNanos / 2);
                uploads.stalled();
                close(channel, "stalled");
            }
        }
        if (holdingServers.isEmpty() || nowNanos - lastWaitNanos > MAX_WAIT_NANOS) {
            waitingCalls.set(0);
        } else if (waitingCalls.get() > 0) {
            scheduleCheck(ioThread);
        }
    }

    private CallerChannel longestIdle() {
        long nowNanos = System.nanoTime();
        return open.stream()
                .max(
                        Comparator.comparing((CallerChannel channel) -> !channel.hasRequest())
                                .thenComparing(channel -> nowNanos - channel.lastReadNanos()))
                .orElse(null);
    }

    private CallerChannel max(Function<CallerChannel, Long> cost) {
        return open.stream().max(Comparator.comparing(cost)).orElse(null);
    }

    private void close(CallerChannel channel, String bound) {
        if (channel == null || !open.remove(channel)) {
            return;
        }
        long bytes = channel.forget();
        metrics.callerClosed(bound);
        long nowNanos = System.nanoTime();
        long lastNanos = lastLogNanos.get();
        if (nowNanos - lastNanos >= LOG_PERIOD_NANOS
                && lastLogNanos.compareAndSet(lastNanos, nowNanos)) {
            LOG.atWarn()
                    .addKeyValue("bound", bound)
                    .addKeyValue("connections", open.size())
                    .addKeyValue("headBytes", headBytes.get())
                    .log("connection of a caller is closed");
        }
        channel.close(
                () -> {
                    headCharged(-bytes);
                    closing.set(false);
                });
    }
}
