package org.snipeslip.server.scenario;

/** A call of a scenario and its result. */
final class SimulatedCall {
    final String name;
    final String method;
    final String path;
    final String workKey;
    final long atNanos;
    final SimulatedInstance instance;
    String result = "";
    long endedNanos;
    int finalAnswers;
    int tries;

    SimulatedCall(
            String name,
            String method,
            String path,
            String workKey,
            long atNanos,
            SimulatedInstance instance) {
        this.name = name;
        this.method = method;
        this.path = path;
        this.workKey = workKey;
        this.atNanos = atNanos;
        this.instance = instance;
    }

    void end(String newResult, long nowNanos) {
        finalAnswers++;
        result = newResult;
        endedNanos = nowNanos;
    }

    boolean isNotRun() {
        return result.endsWith(":not-run");
    }
}
