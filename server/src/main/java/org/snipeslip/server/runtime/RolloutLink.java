package org.snipeslip.server.runtime;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.rollout.RolloutReport;
import org.snipeslip.core.rollout.RolloutStep;

/**
 * Sends reports on rollouts to other instances, and answers theirs: {@code POST /rollouts} with the
 * report as its body; the response has the step to follow.
 */
interface RolloutLink {
    /** Path of all reports. */
    String PATH = "/rollouts";

    /** The link of a process that has no port for other instances. */
    RolloutLink NONE = (action, answered) -> answered.accept(null);

    /** Sends a report; the consumer gets the step, or null if there is none in time. */
    void send(Action.SendRolloutReport action, Consumer<RolloutStep> answered);

    /** A link over HTTP. */
    final class Http implements RolloutLink, HttpHandler {
        private static final Logger LOG = LoggerFactory.getLogger(RolloutLink.class);

        private final InstanceClient client;
        private final Function<RolloutReport, RolloutStep> received;

        Http(InstanceClient client, Function<RolloutReport, RolloutStep> received) {
            this.client = client;
            this.received = received;
        }

        @Override
        public void send(Action.SendRolloutReport action, Consumer<RolloutStep> answered) {
            client.send(
                    action.address(),
                    "POST",
                    PATH,
                    RolloutCodec.encode(action.report()),
                    body -> answered.accept(body == null ? null : decode(action, body)));
        }

        private static RolloutStep decode(Action.SendRolloutReport action, String body) {
            try {
                return RolloutCodec.decodeStep(body);
            } catch (MalformedReportException e) {
                LOG.warn("instance {} told a malformed step", action.address(), e);
                return null;
            }
        }

        @Override
        public void handleRequest(HttpServerExchange exchange) {
            exchange.getRequestReceiver().receiveFullString(this::answer);
        }

        private void answer(HttpServerExchange exchange, String body) {
            try {
                RolloutStep step = received.apply(RolloutCodec.decodeReport(body));
                exchange.getResponseSender().send(RolloutCodec.encode(step));
            } catch (MalformedReportException e) {
                LOG.warn("refused a report from {}", exchange.getSourceAddress(), e);
                exchange.setStatusCode(StatusCodes.BAD_REQUEST);
                exchange.endExchange();
            }
        }
    }
}
