package org.snipeslip.server.scenario;

import java.util.List;
import org.snipeslip.core.instance.Event;

/** Applies the timed events of a scenario to the simulation. */
final class ScenarioEvents {
    private ScenarioEvents() {}

    static void apply(Simulation simulation, ScenarioFile.TimedEvent event) {
        List<String> targets =
                event.targets() != null
                        ? event.targets()
                        : event.target() != null ? List.of(event.target()) : List.of();
        switch (event.kind()) {
            case "call" ->
                    simulation.call(
                            simulation.instances.get(event.target()),
                            event.name(),
                            event.method(),
                            event.path(),
                            event.key() == null ? "" : event.key());
            case "slow" ->
                    targets.forEach(t -> simulation.servers.get(t).slowFactor = event.value());
            case "fail-fast" ->
                    targets.forEach(t -> simulation.servers.get(t).failFast = event.value() > 0);
            case "cold" ->
                    targets.forEach(t -> simulation.servers.get(t).coldCalls = (int) event.value());
            case "drain" -> targets.forEach(t -> simulation.servers.get(t).draining = true);
            case "drain-in-configuration" -> targets.forEach(simulation::drainInConfig);
            case "unreachable" ->
                    targets.forEach(t -> simulation.servers.get(t).unreachable = event.value() > 0);
            case "domain-leave" -> targets.forEach(t -> simulation.setInService(t, false));
            case "domain-return" -> targets.forEach(t -> simulation.setInService(t, true));
            case "publish" -> simulation.publish();
            case "store-down" -> simulation.store.down = event.value() > 0;
            case "store-slow" -> simulation.store.slowMillis = event.value();
            case "store-loses-answers" -> simulation.store.lostAnswers = event.value();
            case "pause" -> targets.forEach(t -> simulation.instances.get(t).paused = true);
            case "resume" -> targets.forEach(t -> simulation.instances.get(t).resume());
            case "lose" -> targets.forEach(t -> simulation.instances.get(t).crash());
            case "start" -> targets.forEach(t -> simulation.instances.get(t).start());
            case "stop" ->
                    targets.forEach(
                            t -> simulation.instances.get(t).deliver(new Event.StopRequested()));
            case "cut-regions" -> simulation.cutRegions.addAll(targets);
            case "heal-regions" -> simulation.cutRegions.clear();
            default -> throw new IllegalArgumentException("unknown kind of event: " + event.kind());
        }
    }
}
