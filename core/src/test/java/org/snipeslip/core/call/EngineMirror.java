package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;

/** What an engine was told about each backend server, kept apart from it to check every try. */
final class EngineMirror {
    final List<Long> probeTimesNanos = new ArrayList<>();
    final List<Long> crossRegionProbeTimesNanos = new ArrayList<>();

    private final RegionId region;
    private final Set<BackendServerId> drainReported = new HashSet<>();
    private final Set<BackendServerId> coldWithoutEvidence = new HashSet<>();
    private final Set<BackendServerId> coldReported = new HashSet<>();
    private final Map<BackendServerId, Set<TryId>> inFlight = new HashMap<>();

    EngineMirror(RegionId region) {
        this.region = region;
    }

    void configured(ConfigSet before, ConfigSet next) {
        Map<BackendServerId, BackendServer> known = byId(before);
        Set<BackendServerId> gone = new HashSet<>(drainReported);
        gone.addAll(coldReported);
        gone.removeAll(byId(next).keySet());
        gone.removeIf(id -> !inFlight.getOrDefault(id, Set.of()).isEmpty());
        drainReported.removeAll(gone);
        coldReported.removeAll(gone);
        for (BackendServer server : byId(next).values()) {
            BackendServer old = known.get(server.id());
            boolean wasIn = old != null && !old.draining() && isDomainIn(before, old);
            boolean isIn = !server.draining() && isDomainIn(next, server);
            if (before.generation().number() > 0 && !wasIn && isIn) {
                coldWithoutEvidence.add(server.id());
            }
        }
    }

    void before(Event event, Map<TryId, FakeTry> tries) {
        switch (event) {
            case Event.TryAnswered e -> {
                FakeTry each = tries.get(e.tryId());
                if (inFlight(each).contains(e.tryId())) {
                    report(each.order.target().id(), e.load());
                    if (e.status() < 500) {
                        coldWithoutEvidence.remove(each.order.target().id());
                    }
                }
            }
            case Event.TryCompleted e -> inFlight(tries.get(e.tryId())).remove(e.tryId());
            case Event.TryFailed e -> {
                FakeTry each = tries.get(e.tryId());
                if (inFlight(each).remove(e.tryId())) {
                    report(each.order.target().id(), e.load());
                }
            }
            case Event.ProbeAnswered e -> report(e.backendServer(), e.load());
            default -> {
                // Says nothing about a backend server.
            }
        }
    }

    void cancelled(FakeTry each) {
        inFlight(each).remove(each.order.tryId());
    }

    void sending(Action.SendTry order, FakeCall call, ConfigSet config) {
        BackendServer target = order.target();
        FailureDomain domain = config.failureDomains().get(target.failureDomain());
        assertThat(domain.inService()).as("failure domain in service").isTrue();
        assertThat(byId(config).get(target.id()).draining()).as("drained by config").isFalse();
        assertThat(drainReported).as("drained by report").doesNotContain(target.id());
        assertThat(Fleets.homeRegions(config, call.head).allows(domain.region()))
                .as("inside home regions")
                .isTrue();
        assertThat(call.triedAt.add(target.id())).as("not tried there before").isTrue();
        Set<TryId> open = inFlight.computeIfAbsent(target.id(), id -> new HashSet<>());
        if (coldWithoutEvidence.contains(target.id())) {
            assertThat(open).as("in flight to a cold server").isEmpty();
        } else if (coldReported.contains(target.id())) {
            assertThat(open).hasSizeLessThan(Math.max(1, target.slots() / 2));
        }
        open.add(order.tryId());
    }

    void probed(BackendServer target, ConfigSet config, long nowNanos) {
        FailureDomain domain = config.failureDomains().get(target.failureDomain());
        assertThat(domain.inService()).as("probed domain in service").isTrue();
        (domain.region().equals(region) ? probeTimesNanos : crossRegionProbeTimesNanos)
                .add(nowNanos);
    }

    private Set<TryId> inFlight(FakeTry each) {
        return inFlight.computeIfAbsent(each.order.target().id(), id -> new HashSet<>());
    }

    private void report(BackendServerId server, LoadReport load) {
        if (!load.isKnown()) {
            return;
        }
        boolean wasDraining = drainReported.remove(server);
        if (load.draining()) {
            drainReported.add(server);
        }
        boolean wasCold = coldReported.remove(server);
        if (load.cold()) {
            coldReported.add(server);
        }
        if ((load.cold() && !wasCold) || (wasDraining && !load.draining())) {
            coldWithoutEvidence.add(server);
        }
    }

    private static boolean isDomainIn(ConfigSet config, BackendServer server) {
        return config.failureDomains().get(server.failureDomain()).inService();
    }

    private static Map<BackendServerId, BackendServer> byId(ConfigSet config) {
        Map<BackendServerId, BackendServer> servers = new HashMap<>();
        config.services().values().stream()
                .flatMap(service -> service.backendServers().stream())
                .forEach(server -> servers.put(server.id(), server));
        return servers;
    }
}
