package org.snipeslip.server.runtime;

import java.util.List;
import java.util.function.BiFunction;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.StateMachine;

/** A state machine whose actions a process sees, and may filter, before they are executed. */
final class ObservedStateMachine implements StateMachine {
    private final StateMachine observed;
    private final BiFunction<Event, List<Action>, List<Action>> observer;

    /**
     * Creates a state machine.
     *
     * @param observed makes the decisions
     * @param observer gets each event with its actions and returns those to execute
     */
    ObservedStateMachine(
            StateMachine observed, BiFunction<Event, List<Action>, List<Action>> observer) {
        this.observed = observed;
        this.observer = observer;
    }

    @Override
    public List<Action> handle(Event event, long nowNanos) {
        return observer.apply(event, observed.handle(event, nowNanos));
    }

    @Override
    public boolean maySend(TryId tryId) {
        return observed.maySend(tryId);
    }
}
