package org.snipeslip.server.scenario;

import java.util.List;
import org.snipeslip.core.instance.Event;

/** Carries out the timed events of a scenario. */
final class ScenarioEvents {
    private ScenarioEvents() {}

    static void apply(World world, ScenarioFile.TimedEvent event) {
        List<String> targets =
                event.targets() != null
                        ? event.targets()
                        : event.target() != null ? List.of(event.target()) : List.of();
        switch (event.kind()) {
            case "call" ->
                    world.call(
                            world.nodes.get(event.target()),
                            event.name(),
                            event.method(),
                            event.path(),
                            event.key() == null ? "" : event.key());
            case "slow" -> targets.forEach(t -> world.servers.get(t).slowFactor = event.value());
            case "fail-fast" ->
                    targets.forEach(t -> world.servers.get(t).failFast = event.value() > 0);
            case "cold" ->
                    targets.forEach(t -> world.servers.get(t).coldCalls = (int) event.value());
            case "drain" -> targets.forEach(t -> world.servers.get(t).draining = true);
            case "drain-in-configuration" -> targets.forEach(world::drainInConfig);
            case "unreachable" ->
                    targets.forEach(t -> world.servers.get(t).unreachable = event.value() > 0);
            case "domain-leave" -> targets.forEach(t -> world.setInService(t, false));
            case "domain-return" -> targets.forEach(t -> world.setInService(t, true));
            case "publish" -> world.publish();
            case "store-down" -> world.store.down = event.value() > 0;
            case "store-slow" -> world.store.slowMillis = event.value();
            case "store-loses-answers" -> world.store.lostAnswers = event.value();
            case "pause" -> targets.forEach(t -> world.nodes.get(t).paused = true);
            case "resume" -> targets.forEach(t -> world.nodes.get(t).resume());
            case "lose" -> targets.forEach(t -> world.nodes.get(t).lose());
            case "start" -> targets.forEach(t -> world.nodes.get(t).start());
            case "stop" -> targets.forEach(t -> world.nodes.get(t).take(new Event.StopRequested()));
            case "cut-regions" -> world.cutRegions.addAll(targets);
            case "heal-regions" -> world.cutRegions.clear();
            default -> throw new IllegalArgumentException(event.kind());
        }
    }
}
