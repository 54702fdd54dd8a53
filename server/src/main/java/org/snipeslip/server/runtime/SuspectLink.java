package org.snipeslip.server.runtime;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.suspect.SuspectMessage;
import org.snipeslip.core.suspect.Verdict;

/**
 * Sends messages about suspected requests to other instances, and answers theirs: {@code POST
 * /suspicions} with one message in the query, {@code GET /suspicions?region=R} for all that an
 * instance of a region may know, and {@code GET /suspicions?digest=D} for one request.
 */
interface SuspectLink {
    /** Path of all messages. */
    String PATH = "/suspicions";

    /** The link of a process that has no port for other instances. */
    SuspectLink NONE =
            new SuspectLink() {
                @Override
                public void send(Action.SendSuspectMessage action, Consumer<Boolean> ended) {
                    // Nobody is known who could be told.
                }

                @Override
                public void ask(Action.AskSuspicion action, Consumer<Verdict> answered) {
                    answered.accept(null);
                }

                @Override
                public void pull(
                        Action.PullSuspicions action, Consumer<List<SuspectMessage>> told) {
                    // Nobody is known who could be asked.
                }
            };

    /** Sends a message; the consumer learns whether it was confirmed. */
    void send(Action.SendSuspectMessage action, Consumer<Boolean> ended);

    /** Asks about one request; the consumer gets null if there is no answer in time. */
    void ask(Action.AskSuspicion action, Consumer<Verdict> answered);

    /** Asks for all suspicions; the consumer is called only if there is an answer. */
    void pull(Action.PullSuspicions action, Consumer<List<SuspectMessage>> told);

    /** A link over HTTP. */
    final class Http implements SuspectLink, HttpHandler {
        private static final Logger LOG = LoggerFactory.getLogger(SuspectLink.class);

        private final InstanceClient client;
        private final Consumer<SuspectMessage> received;
        private final Function<RegionId, List<SuspectMessage>> known;
        private final Function<RequestDigest, Verdict> verdicts;

        Http(
                InstanceClient client,
                Consumer<SuspectMessage> received,
                Function<RegionId, List<SuspectMessage>> known,
                Function<RequestDigest, Verdict> verdicts) {
            this.client = client;
            this.received = received;
            this.known = known;
            this.verdicts = verdicts;
        }

        @Override
        public void send(Action.SendSuspectMessage action, Consumer<Boolean> ended) {
            String target = PATH + "?" + SuspectCodec.encode(action.message());
            client.send(action.address(), "POST", target, body -> ended.accept(body != null));
        }

        @Override
        public void ask(Action.AskSuspicion action, Consumer<Verdict> answered) {
            String target = PATH + "?" + SuspectCodec.encode(action.question());
            client.send(
                    action.address(),
                    "GET",
                    target,
                    body -> answered.accept(body == null ? null : decodeVerdict(action, body)));
        }

        private static Verdict decodeVerdict(Action.AskSuspicion action, String body) {
            try {
                return SuspectCodec.decodeVerdict(body);
            } catch (MalformedSuspicionException e) {
                LOG.warn("instance {} gave a malformed verdict", action.address(), e);
                return null;
            }
        }

        @Override
        public void pull(Action.PullSuspicions action, Consumer<List<SuspectMessage>> told) {
            String target = PATH + "?" + SuspectCodec.encode(action.region());
            client.send(action.address(), "GET", target, body -> tellDecoded(action, body, told));
        }

        private static void tellDecoded(
                Action.PullSuspicions action, String body, Consumer<List<SuspectMessage>> told) {
            if (body == null) {
                return;
            }
            try {
                told.accept(SuspectCodec.decodeAll(body));
            } catch (MalformedSuspicionException e) {
                LOG.warn("instance {} told malformed suspicions", action.address(), e);
            }
        }

        @Override
        public void handleRequest(HttpServerExchange exchange) {
            try {
                Function<String, String> field =
                        name -> {
                            var values = exchange.getQueryParameters().get(name);
                            return values == null ? "" : values.getFirst();
                        };
                if (exchange.getRequestMethod().equals(Methods.POST)) {
                    received.accept(SuspectCodec.decode(field));
                    exchange.endExchange();
                } else if (!field.apply("digest").isEmpty()) {
                    RequestDigest digest = SuspectCodec.decodeDigest(field);
                    exchange.getResponseSender().send(SuspectCodec.encode(verdicts.apply(digest)));
                } else {
                    RegionId region = SuspectCodec.decodeRegion(field);
                    exchange.getResponseSender().send(SuspectCodec.encodeAll(known.apply(region)));
                }
            } catch (MalformedSuspicionException e) {
                LOG.warn("refused a message from {}", exchange.getSourceAddress(), e);
                exchange.setStatusCode(StatusCodes.BAD_REQUEST);
                exchange.endExchange();
            }
        }
    }
}
