package org.snipeslip.server.runtime;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.discovery.DiscoveryRecord;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.KnownInstances;
import org.snipeslip.core.instance.Outbox;

/**
 * Tells other instances that this one has started, and hears the same of them: {@code POST
 * /instances} with name, region and address as its body. The response is 200 once the sender is
 * counted.
 */
interface AnnouncementLink {
    /** Path of all announcements. */
    String PATH = "/instances";

    /** The link of a process that has no port for other instances. */
    AnnouncementLink NONE = (action, ended) -> ended.accept(false);

    /** Sends an announcement; the consumer learns whether it was confirmed. */
    void send(Action.AnnounceInstance action, Consumer<Boolean> ended);

    /** A link over HTTP. */
    final class Http implements AnnouncementLink, HttpHandler {
        private static final Logger LOG = LoggerFactory.getLogger(AnnouncementLink.class);

        /** Several times the longest names. */
        private static final long MAX_ANNOUNCEMENT_BYTES = 4 << 10;

        private static final int FIELDS = 3;

        private final InstanceClient client;
        private final KnownInstances instances;
        private final StateMachineDriver driver;

        /**
         * Creates a link.
         *
         * @param instances counts the instances that announce themselves
         * @param driver executes the actions that follow from them
         */
        Http(InstanceClient client, KnownInstances instances, StateMachineDriver driver) {
            this.client = client;
            this.instances = instances;
            this.driver = driver;
        }

        @Override
        public void send(Action.AnnounceInstance action, Consumer<Boolean> ended) {
            client.send(
                    action.address(),
                    "POST",
                    PATH,
                    encode(action.announced()),
                    body -> ended.accept(body != null));
        }

        @Override
        public void handleRequest(HttpServerExchange exchange) {
            exchange.setMaxEntitySize(MAX_ANNOUNCEMENT_BYTES);
            exchange.getRequestReceiver().receiveFullString(this::answer, StandardCharsets.UTF_8);
        }

        private void answer(HttpServerExchange exchange, String body) {
            Optional<DiscoveryRecord.Instance> announced = decode(body);
            if (announced.isEmpty()) {
                LOG.warn("malformed announcement from {}", exchange.getSourceAddress());
                exchange.setStatusCode(StatusCodes.BAD_REQUEST);
            } else if (!count(announced.get())) {
                LOG.warn("too many instances; {} is not counted", announced.get().instance());
                exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
            }
            exchange.endExchange();
        }

        private boolean count(DiscoveryRecord.Instance announced) {
            Outbox outbox = new Outbox();
            boolean counted = instances.announced(announced, System.nanoTime(), outbox);
            driver.execute(outbox.actions());
            return counted;
        }

        private static String encode(DiscoveryRecord.Instance instance) {
            return String.join(
                    "&",
                    escape(instance.instance().value()),
                    escape(instance.region()),
                    escape(instance.peerAddress()));
        }

        /** Returns the announced instance, or nothing if the text is malformed. */
        private static Optional<DiscoveryRecord.Instance> decode(String text) {
            String[] fields = text.split("&", -1);
            if (fields.length != FIELDS) {
                return Optional.empty();
            }
            try {
                return Optional.of(
                        new DiscoveryRecord.Instance(
                                new InstanceId(unescape(fields[0])),
                                unescape(fields[1]),
                                unescape(fields[2])));
            } catch (IllegalArgumentException e) {
                LOG.debug("announcement cannot be read", e);
                return Optional.empty();
            }
        }

        private static String escape(String text) {
            return URLEncoder.encode(text, StandardCharsets.UTF_8);
        }

        private static String unescape(String text) {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        }
    }
}
