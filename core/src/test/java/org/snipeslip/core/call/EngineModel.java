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

/**
 * Reference model of what an engine knows about each backend server. It is updated from the same
 * events as the engine, but independently, and checks every try and probe of the engine.
 */
final class EngineModel {
    final List<Long> probeTimesNanos = new ArrayList<>();
    final List<Long> crossRegionProbeTimesNanos = new ArrayList<>();

    private final RegionId region;
    private final Set<BackendServerId> drainReported = new HashSet<>();
    private final Set<BackendServerId> coldWithoutGoodResponse = new HashSet<>();
    private final Set<BackendServerId> coldReported = new HashSet<>();
    private final Map<BackendServerId, Set<TryId>> inFlight = new HashMap<>();

    EngineModel(RegionId region) {
        this.region = region;
    }

    void configured(ConfigSet previousConfig, ConfigSet next) {
        Map<BackendServerId, BackendServer> previous = byId(previousConfig);
        Set<BackendServerId> removed = new HashSet<>(drainReported);
        removed.addAll(coldReported);
        removed.removeAll(byId(next).keySet());
        removed.removeIf(id -> !inFlight.getOrDefault(id, Set.of()).isEmpty());
        drainReported.removeAll(removed);
        coldReported.removeAll(removed);
        for (BackendServer server : byId(next).values()) {
            BackendServer previousServer = previous.get(server.id());
            boolean wasInService =
                    previousServer != null
                            && !previousServer.draining()
                            && isDomainInService(previousConfig, previousServer);
            boolean isInService = !server.draining() && isDomainInService(next, server);
            if (previousConfig.generation().number() > 0 && !wasInService && isInService) {
                coldWithoutGoodResponse.add(server.id());
            }
        }
    }

    void beforeEvent(Event event, Map<TryId, FakeTry> tries) {
        switch (event) {
            case Event.TryAnswered e -> {
                FakeTry fakeTry = tries.get(e.tryId());
                if (inFlight(fakeTry).contains(e.tryId())) {
                    report(fakeTry.order.target().id(), e.load());
                    if (e.status() < 500) {
                        coldWithoutGoodResponse.remove(fakeTry.order.target().id());
                    }
                }
            }
            case Event.TryCompleted e -> inFlight(tries.get(e.tryId())).remove(e.tryId());
            case Event.TryFailed e -> {
                FakeTry fakeTry = tries.get(e.tryId());
                if (inFlight(fakeTry).remove(e.tryId())) {
                    report(fakeTry.order.target().id(), e.load());
                }
            }
            case Event.ProbeAnswered e -> report(e.backendServer(), e.load());
            default -> {
                // The other events carry no information about a backend server.
            }
        }
    }

    void cancelled(FakeTry fakeTry) {
        inFlight(fakeTry).remove(fakeTry.order.tryId());
    }

    void checkTry(Action.SendTry order, FakeCall call, ConfigSet config) {
        BackendServer target = order.target();
        FailureDomain domain = config.failureDomains().get(target.failureDomain());
        assertThat(domain.inService()).as("failure domain in service").isTrue();
        assertThat(byId(config).get(target.id()).draining())
                .as("draining according to config")
                .isFalse();
        assertThat(drainReported).as("servers that report draining").doesNotContain(target.id());
        assertThat(DeploymentFixtures.homeRegions(config, call.head).allows(domain.region()))
                .as("inside home regions")
                .isTrue();
        assertThat(call.triedAt.add(target.id())).as("not tried there before").isTrue();
        Set<TryId> open = inFlight.computeIfAbsent(target.id(), id -> new HashSet<>());
        if (coldWithoutGoodResponse.contains(target.id())) {
            assertThat(open)
                    .as("tries in flight to a cold server before its first good response")
                    .isEmpty();
        } else if (coldReported.contains(target.id())) {
            assertThat(open).hasSizeLessThan(Math.max(1, target.slots() / 2));
        }
        open.add(order.tryId());
    }

    void checkProbe(BackendServer target, ConfigSet config, long nowNanos) {
        FailureDomain domain = config.failureDomains().get(target.failureDomain());
        assertThat(domain.inService()).as("probed domain in service").isTrue();
        (domain.region().equals(region) ? probeTimesNanos : crossRegionProbeTimesNanos)
                .add(nowNanos);
    }

    private Set<TryId> inFlight(FakeTry fakeTry) {
        return inFlight.computeIfAbsent(fakeTry.order.target().id(), id -> new HashSet<>());
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
            coldWithoutGoodResponse.add(server);
        }
    }

    private static boolean isDomainInService(ConfigSet config, BackendServer server) {
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
