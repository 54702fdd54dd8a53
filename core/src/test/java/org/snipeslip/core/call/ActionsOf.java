package org.snipeslip.core.call;

import java.util.List;
import org.snipeslip.core.instance.Action;

/** Finds what a test looks at among the actions of an event. */
final class ActionsOf {
    private ActionsOf() {}

    static Action.SendTry sent(List<Action> actions) {
        return actions.stream()
                .filter(Action.SendTry.class::isInstance)
                .map(Action.SendTry.class::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no try in " + actions));
    }

    static Refusal refusal(List<Action> actions) {
        return actions.stream()
                .filter(Action.RefuseCaller.class::isInstance)
                .map(action -> ((Action.RefuseCaller) action).refusal())
                .findFirst()
                .orElseThrow(() -> new AssertionError("no refusal in " + actions));
    }
}
