package org.snipeslip.server.runtime;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.DiscoveryInstance;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.quota.QuotaAnswer;
import org.snipeslip.core.quota.QuotaAsk;

/** Asks other instances to lend parts of quotas, and answers theirs: {@code POST /quotas}. */
interface QuotaLink {
    /** Path of the questions. */
    String PATH = "/quotas";

    /** The link of a process that has no port for other instances. */
    QuotaLink NONE = (action, answered) -> answered.accept(null);

    /** Asks an instance; the consumer gets null if there is no answer in time. */
    void ask(Action.AskQuota action, Consumer<QuotaAnswer> answered);

    /** A link over HTTP. */
    final class Http implements QuotaLink, HttpHandler {
        private static final Logger LOG = LoggerFactory.getLogger(QuotaLink.class);

        /** More than a thousand organisations. */
        private static final long MAX_QUESTION_BYTES = 256 << 10;

        private final InstanceClient client;
        private final DiscoveryInstance instance;
        private final StateMachineDriver driver;

        /**
         * Creates a link.
         *
         * @param instance answers the questions of other instances
         * @param driver executes the actions that follow from them
         */
        Http(InstanceClient client, DiscoveryInstance instance, StateMachineDriver driver) {
            this.client = client;
            this.instance = instance;
            this.driver = driver;
        }

        @Override
        public void ask(Action.AskQuota action, Consumer<QuotaAnswer> answered) {
            client.post(
                    action.address(),
                    PATH,
                    QuotaCodec.encode(action.ask()),
                    body -> answered.accept(body == null ? null : decode(action, body)));
        }

        private static QuotaAnswer decode(Action.AskQuota action, String body) {
            try {
                return QuotaCodec.decodeAnswer(action.ask(), body);
            } catch (IllegalArgumentException e) {
                LOG.warn("instance {} gave a malformed answer", action.address(), e);
                return null;
            }
        }

        @Override
        public void handleRequest(HttpServerExchange exchange) {
            exchange.setMaxEntitySize(MAX_QUESTION_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullString(
                            (ended, body) -> answer(ended, body), StandardCharsets.UTF_8);
        }

        private void answer(HttpServerExchange exchange, String body) {
            try {
                Outbox outbox = new Outbox();
                QuotaAsk ask = QuotaCodec.decode(body);
                QuotaAnswer answer = instance.answerQuotas(ask, System.nanoTime(), outbox);
                driver.execute(outbox.actions());
                exchange.getResponseSender().send(QuotaCodec.encode(answer));
            } catch (IllegalArgumentException e) {
                LOG.warn("refused a question from {}", exchange.getSourceAddress(), e);
                exchange.setStatusCode(StatusCodes.BAD_REQUEST);
                exchange.endExchange();
            }
        }
    }
}
