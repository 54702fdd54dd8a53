package org.snipeslip.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.routing.HomeRegions;

/** Guards against starvation of interactive calls and of organisations with few calls. */
class WaitingQueueTest {
    private static final int LIMIT = 30;

    private final WaitingQueue<String> queue = new WaitingQueue<>(LIMIT);

    @Test
    void takesInteractiveCallsBeforeBatchCalls() {
        add("batch", CallClass.BATCH, "big", 1);
        add("interactive", CallClass.INTERACTIVE, "big", 1);
        assertThat(take()).isEqualTo("interactive");
        assertThat(take()).isEqualTo("batch");
    }

    @Test
    void dequeuesInProportionToTheWeights() {
        for (int i = 0; i < 12; i++) {
            add("big", CallClass.INTERACTIVE, "big", 1);
            add("heavy", CallClass.INTERACTIVE, "heavy", 3);
        }
        Map<String, Integer> taken = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            taken.merge(take(), 1, Integer::sum);
        }
        assertThat(taken).containsEntry("heavy", 9).containsEntry("big", 3);
    }

    @Test
    void arrivalEvictsFromTheLargestFlowOfTheLowestClass() {
        for (int i = 0; i < LIMIT - 1; i++) {
            add("big", CallClass.BATCH, "big", 1);
        }
        add("small", CallClass.BATCH, "small", 1);
        Waiting<String> sameFlow = waiting("more", CallClass.BATCH, "big");
        assertThat(queue.findEviction(sameFlow)).isSameAs(sameFlow);
        assertThat(queue.isOverShare(sameFlow.flow())).isTrue();
        Waiting<String> other = waiting("other", CallClass.BATCH, "small");
        assertThat(queue.findEviction(other).value()).isEqualTo("big");
        Waiting<String> interactive = waiting("interactive", CallClass.INTERACTIVE, "big");
        assertThat(queue.findEviction(interactive).value()).isEqualTo("big");
    }

    @Test
    void skipsABlockedFlow() {
        add("first", CallClass.INTERACTIVE, "big", 1);
        add("second", CallClass.INTERACTIVE, "small", 1);
        queue.beginRound();
        queue.block(queue.head());
        assertThat(queue.head().value()).isEqualTo("second");
    }

    private void add(String value, CallClass callClass, String organisation, int weight) {
        queue.add(waiting(value, callClass, organisation), weight);
    }

    private String take() {
        queue.beginRound();
        Waiting<String> head = queue.head();
        queue.take(head);
        return head.value();
    }

    private static Waiting<String> waiting(String value, CallClass callClass, String name) {
        FlowKey key = new FlowKey(callClass, new OrganisationId(name), HomeRegions.ANY);
        return new Waiting<>(value, key, 0, Long.MAX_VALUE);
    }
}
