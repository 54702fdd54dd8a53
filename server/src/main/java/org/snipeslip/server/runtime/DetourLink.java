package org.snipeslip.server.runtime;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.snipeslip.core.instance.Action;

/**
 * Asks other instances whether they would send calls to backend servers for this one, and answers
 * theirs: {@code GET /detours?version=N} with 200 if the instance has at least that version of the
 * configuration and reaches backend servers.
 */
interface DetourLink {
    /** Path of the question. */
    String PATH = "/detours";

    /** The link of a process that has no port for other instances. */
    DetourLink NONE = (action, answered) -> answered.accept(false);

    /** Asks an instance; the consumer gets false also if there is no answer in time. */
    void ask(Action.AskDetour action, Consumer<Boolean> answered);

    /** A link over HTTP. */
    final class Http implements DetourLink, HttpHandler {
        private static final String VERSION = "version";

        private final InstanceClient client;
        private final LongPredicate accepts;

        /**
         * Creates a link.
         *
         * @param accepts whether calls are accepted that need a version of the configuration
         */
        Http(InstanceClient client, LongPredicate accepts) {
            this.client = client;
            this.accepts = accepts;
        }

        @Override
        public void ask(Action.AskDetour action, Consumer<Boolean> answered) {
            String target = PATH + "?" + VERSION + "=" + action.version();
            client.send(action.address(), "GET", target, body -> answered.accept(body != null));
        }

        @Override
        public void handleRequest(HttpServerExchange exchange) {
            exchange.setStatusCode(status(exchange));
            exchange.endExchange();
        }

        private int status(HttpServerExchange exchange) {
            Deque<String> values = exchange.getQueryParameters().get(VERSION);
            try {
                long version = Long.parseLong(values == null ? "" : values.getFirst());
                return accepts.test(version) ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
            } catch (NumberFormatException e) {
                return StatusCodes.BAD_REQUEST;
            }
        }
    }
}
