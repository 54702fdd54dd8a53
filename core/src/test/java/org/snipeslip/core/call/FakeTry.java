package org.snipeslip.core.call;

import org.snipeslip.core.instance.Action;

/** State of a try outside the engine, where the connection to the server would be. */
final class FakeTry {
    final int engine;
    final Action.SendTry order;
    final FakeCall call;
    final FakeServer server;
    boolean cancelled;
    boolean answered;
    boolean ended;

    FakeTry(int engine, Action.SendTry order, FakeCall call, FakeServer server) {
        this.engine = engine;
        this.order = order;
        this.call = call;
        this.server = server;
    }
}
