package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;

/**
 * Keeps copies of the configuration, servers and evacuations in the store and publishes a new
 * configuration set after each change. Every public method except {@link #config} holds the lock of
 * the engine, which is the first in the lock order.
 */
public final class DiscoveryEngine {
    private static final TimerId TIMER = new TimerId(EngineName.CONTROL, "fleet");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private final DiscoveryEngineSettings settings;
    private final OutageDetector outage;
    private final WatchCache configCache;
    private final WatchCache serverCache;
    private final WatchCache evacuationCache;
    private final List<WatchCache> caches;
    private final ConfigSetBuilder configSetBuilder;
    private final TreeSet<String> instances = new TreeSet<>();
    private final List<String> listedInstances = new ArrayList<>();
    private boolean registered;
    private DiscoveryRequest pendingInstancesRequest;
    private long instancesDueNanos = NEVER;
    private long timerDueNanos = NEVER;
    private InstanceShare share;

    /**
     * Creates an engine without configuration.
     *
     * @param settings settings of discovery
     * @param seed seed of the random jitter of retries
     */
    public DiscoveryEngine(DiscoveryEngineSettings settings, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        this.settings = settings;
        this.outage = new OutageDetector(settings.watch());
        this.configCache = newCache(DiscoveryKind.CONFIG, random);
        this.serverCache = newCache(DiscoveryKind.SERVERS, random);
        this.evacuationCache = newCache(DiscoveryKind.EVACUATIONS, random);
        this.caches = List.of(configCache, serverCache, evacuationCache);
        this.configSetBuilder = new ConfigSetBuilder(settings);
        this.share = new InstanceShare(settings.assumedInstances(), 0);
    }

    private WatchCache newCache(DiscoveryKind kind, SplittableRandom random) {
        return new WatchCache(kind, settings.watch(), outage, random.split());
    }

    /**
     * Returns whether configuration, servers and evacuations have all been read.
     *
     * @return true once calls can be served
     */
    public synchronized boolean isComplete() {
        return configSetBuilder.config() != null
                && caches.stream().allMatch(WatchCache::isComplete);
    }

    /**
     * Returns the share of this instance in the limits that apply to all instances together.
     *
     * @return number of instances and position of this one among them
     */
    public synchronized InstanceShare share() {
        return share;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or null before the first one was read
     */
    public DiscoveredConfig config() {
        return configSetBuilder.config();
    }

    /**
     * Handles an event of discovery.
     *
     * @param event the event; events of other engines are ignored
     * @param nowNanos the current time
     * @param outbox receives the resulting actions
     */
    public synchronized void handle(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.Started started -> {
                caches.forEach(cache -> send(cache.start(), outbox));
                sendInstancesRequest(
                        new DiscoveryRequest.Register(settings.instance().value()), outbox);
            }
            case Event.DiscoveryResponded answered -> handleResponse(answered, nowNanos, outbox);
            case Event.TimerFired fired when fired.timer().equals(TIMER) ->
                    handleTimer(nowNanos, outbox);
            default -> {
                return;
            }
        }
        setTimer(nowNanos, outbox);
    }

    private void handleResponse(Event.DiscoveryResponded answered, long nowNanos, Outbox outbox) {
        if (answered.request().equals(pendingInstancesRequest)) {
            handleInstancesResponse(answered.response(), nowNanos, outbox);
            return;
        }
        for (WatchCache cache : caches) {
            if (cache.awaits(answered.request())) {
                boolean wasFailing = outage.isFailing();
                boolean changed =
                        cache.handleResponse(answered.request(), answered.response(), nowNanos);
                if (wasFailing && !outage.isFailing()) {
                    // Watches that were pending during the failure may never receive a response.
                    caches.forEach(each -> each.restartWatches(nowNanos));
                }
                caches.forEach(each -> sendDueRequests(each, nowNanos, outbox));
                if (changed) {
                    publishConfigSet(nowNanos, outbox);
                }
                return;
            }
        }
    }

    private void handleTimer(long nowNanos, Outbox outbox) {
        timerDueNanos = NEVER;
        boolean changed = false;
        for (WatchCache cache : caches) {
            changed |= cache.removeExpired(nowNanos);
            sendDueRequests(cache, nowNanos, outbox);
        }
        if (changed) {
            publishConfigSet(nowNanos, outbox);
        }
        if (nowNanos >= instancesDueNanos) {
            instancesDueNanos = NEVER;
            sendInstancesRequest(nextInstancesRequest(), outbox);
        }
    }

    private static void sendDueRequests(WatchCache cache, long nowNanos, Outbox outbox) {
        cache.dueRequests(nowNanos).forEach(request -> send(request, outbox));
    }

    private void publishConfigSet(long nowNanos, Outbox outbox) {
        for (DiscoveryObject object : configCache.objects().values()) {
            if (object.record() instanceof DiscoveryRecord.Config(DiscoveredConfig config)) {
                configSetBuilder.updateConfig(config);
            }
        }
        if (isComplete()) {
            Map<String, DiscoveryObject> servers = serverCache.objects();
            outbox.add(
                    new Action.ConfigAdopted(
                            configSetBuilder.build(servers, evacuationCache.objects(), nowNanos)));
        }
    }

    private DiscoveryRequest nextInstancesRequest() {
        return registered
                ? new DiscoveryRequest.ListPage(
                        DiscoveryKind.INSTANCES,
                        listedInstances.isEmpty() ? "" : listedInstances.getLast(),
                        true)
                : new DiscoveryRequest.Register(settings.instance().value());
    }

    private void handleInstancesResponse(DiscoveryResponse response, long nowNanos, Outbox outbox) {
        pendingInstancesRequest = null;
        long periodNanos = settings.watch().instancesRefreshMillis() * NANOS_PER_MILLI;
        switch (response) {
            case DiscoveryResponse.Registered confirmation -> {
                registered = true;
                instancesDueNanos = nowNanos;
            }
            case DiscoveryResponse.Page page -> {
                page.objects().forEach(object -> listedInstances.add(object.name()));
                if (page.more() && !page.objects().isEmpty()) {
                    instancesDueNanos = nowNanos;
                } else {
                    updateInstances();
                    instancesDueNanos = nowNanos + periodNanos;
                }
            }
            default -> instancesDueNanos = nowNanos + periodNanos;
        }
    }

    /**
     * Replaces the known instances by the listed ones. Entries of stopped instances remain in the
     * store, so the number may be too high, which errs on the safe side: shares of limits become
     * smaller.
     */
    private void updateInstances() {
        instances.clear();
        instances.addAll(listedInstances);
        instances.add(settings.instance().value());
        listedInstances.clear();
        share =
                new InstanceShare(
                        instances.size(), instances.headSet(settings.instance().value()).size());
    }

    private void sendInstancesRequest(DiscoveryRequest request, Outbox outbox) {
        pendingInstancesRequest = request;
        send(request, outbox);
    }

    private static void send(DiscoveryRequest request, Outbox outbox) {
        outbox.add(new Action.SendDiscoveryRequest(request));
    }

    private void setTimer(long nowNanos, Outbox outbox) {
        long due = instancesDueNanos;
        for (WatchCache cache : caches) {
            due = Math.min(due, cache.dueNanos());
        }
        if (due < timerDueNanos) {
            timerDueNanos = due;
            outbox.add(new Action.SetTimer(TIMER, Math.max(0, due - nowNanos)));
        }
    }
}
