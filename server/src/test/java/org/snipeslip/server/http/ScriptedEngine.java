package org.snipeslip.server.http;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;

/**
 * Fake state machine that sends each call to one backend server, unless a test sets another script.
 */
final class ScriptedEngine implements CallEventHandler {
    private static final long REMAINING_NANOS = 60_000_000_000L;

    final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Map<RequestId, CallRelay> relays = new ConcurrentHashMap<>();
    private final BackendServer target;

    /** Tries whose server has left service since they were decided. */
    final Set<TryId> withdrawn = ConcurrentHashMap.newKeySet();

    private volatile Script script = this::relayFirstTry;

    ScriptedEngine(BackendServer target) {
        this.target = target;
    }

    void script(Script replacement) {
        script = replacement;
    }

    @Override
    public void begin(RequestId request, CallRelay relay, Event.CallArrived arrived) {
        relays.put(request, relay);
        handle(arrived);
    }

    @Override
    public void handle(Event event) {
        List<Action> actions = script.actions(event);
        events.add(event);
        actions.forEach(this::execute);
    }

    @Override
    public boolean isOpen(RequestId request) {
        return relays.containsKey(request);
    }

    @Override
    public boolean maySend(TryId tryId) {
        return !withdrawn.contains(tryId);
    }

    @Override
    public void forget(RequestId request) {
        relays.remove(request);
    }

    void execute(Action action) {
        RequestId request =
                switch (action) {
                    case Action.SendTry a -> a.tryId().request();
                    case Action.CancelTry a -> a.tryId().request();
                    case Action.RelayAnswer a -> a.tryId().request();
                    case Action.RefuseCaller a -> a.request();
                    case Action.ReplayAnswer a -> a.request();
                    default -> throw new IllegalArgumentException(action.toString());
                };
        CallRelay relay = relays.get(request);
        if (relay != null) {
            relay.execute(action);
        }
    }

    /** Waits for the next event of a type; discards other events. */
    <T extends Event> T await(Class<T> type) throws InterruptedException {
        return type.cast(await(new Class<?>[] {type}));
    }

    /** Waits for the next event of one of several types; discards other events. */
    Event await(Class<?>... types) throws InterruptedException {
        while (true) {
            Event event = events.poll(RawSocket.TEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            if (event == null) {
                throw new AssertionError(
                        "no event of "
                                + Arrays.toString(types)
                                + " within "
                                + RawSocket.TEST_TIMEOUT_MILLIS
                                + " ms");
            }
            for (Class<?> type : types) {
                if (type.isInstance(event)) {
                    return event;
                }
            }
        }
    }

    List<Action> relayFirstTry(Event event) {
        return switch (event) {
            case Event.CallArrived e -> List.of(send(e.request(), 1, target));
            case Event.TryAnswered e -> List.of(new Action.RelayAnswer(e.tryId()));
            case Event.TryFailed e -> List.of(refusal(e));
            case Event.CallerDisconnected e ->
                    List.of(new Action.CancelTry(new TryId(e.request(), 1)));
            default -> List.of();
        };
    }

    static Action.SendTry send(RequestId request, int number, BackendServer target) {
        return new Action.SendTry(
                new TryId(request, number), new ServiceId("s"), target, REMAINING_NANOS, 2, true);
    }

    static Action.RefuseCaller refusal(Event.TryFailed failed) {
        RefusalReason reason = RefusalReason.BACKEND_SERVER_FAILED;
        return new Action.RefuseCaller(
                failed.tryId().request(),
                failed.failure().mayHaveStarted()
                        ? Refusal.unknown(reason)
                        : Refusal.notRun(reason));
    }

    /** Returns the actions that an event causes. */
    interface Script {
        List<Action> actions(Event event);
    }
}
