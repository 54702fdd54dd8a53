package org.snipeslip.server.scenario;

/** One call of a scenario and how it ended. */
final class CallRecord {
    final String name;
    final String method;
    final String path;
    final String workKey;
    final long atNanos;
    final Node node;
    String result = "";
    long endedNanos;
    int finalAnswers;
    int tries;

    CallRecord(String name, String method, String path, String workKey, long atNanos, Node node) {
        this.name = name;
        this.method = method;
        this.path = path;
        this.workKey = workKey;
        this.atNanos = atNanos;
        this.node = node;
    }

    void end(String how, long nowNanos) {
        finalAnswers++;
        result = how;
        endedNanos = nowNanos;
    }

    boolean isNotRun() {
        return result.endsWith(":not-run");
    }
}
