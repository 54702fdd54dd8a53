package org.snipeslip.standin.bench;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/** The platform's load balancer in front of the instances: sees readiness with a lag. */
final class BalancerStandIn implements AutoCloseable {
    private final Fleet fleet;
    private final ReadinessPoller poller;
    private final long lagMillis;
    private final Thread thread;
    private volatile List<URI> ready;

    BalancerStandIn(Fleet fleet, ReadinessPoller poller, long lagMillis) {
        this.fleet = fleet;
        this.poller = poller;
        this.lagMillis = lagMillis;
        this.ready = fleet.callerOrigins();
        this.thread = Thread.ofPlatform().daemon().name("balancer").start(this::run);
    }

    List<URI> origins() {
        return ready;
    }

    private void run() {
        try {
            while (!Thread.interrupted()) {
                Thread.sleep(lagMillis);
                ready = readyNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private List<URI> readyNow() {
        List<URI> callers = fleet.callerOrigins();
        List<URI> operators = fleet.operatorOrigins();
        List<URI> found = new ArrayList<>();
        for (int i = 0; i < callers.size(); i++) {
            if (poller.generation(operators.get(i)).join().isPresent()) {
                found.add(callers.get(i));
            }
        }
        return found.isEmpty() ? ready : found;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
