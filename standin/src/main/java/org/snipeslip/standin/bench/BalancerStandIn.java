package org.snipeslip.standin.bench;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * Stand-in of the platform's load balancer in front of the instances; it polls their readiness and
 * so notices changes with a lag.
 */
final class BalancerStandIn implements AutoCloseable {
    private final Fleet fleet;
    private final ReadinessPoller poller;
    private final long lagMillis;
    private final Thread thread;
    private volatile List<URI> readyOrigins;

    BalancerStandIn(Fleet fleet, ReadinessPoller poller, long lagMillis) {
        this.fleet = fleet;
        this.poller = poller;
        this.lagMillis = lagMillis;
        this.readyOrigins = fleet.callerOrigins();
        this.thread =
                Thread.ofPlatform().daemon().name("balancer").start(this::pollUntilInterrupted);
    }

    List<URI> origins() {
        return readyOrigins;
    }

    private void pollUntilInterrupted() {
        try {
            while (!Thread.interrupted()) {
                Thread.sleep(lagMillis);
                readyOrigins = pollReadyOrigins();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private List<URI> pollReadyOrigins() {
        List<URI> callers = fleet.callerOrigins();
        List<URI> operators = fleet.operatorOrigins();
        List<URI> found = new ArrayList<>();
        for (int i = 0; i < callers.size(); i++) {
            if (poller.generation(operators.get(i)).join().isPresent()) {
                found.add(callers.get(i));
            }
        }
        return found.isEmpty() ? readyOrigins : found;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
