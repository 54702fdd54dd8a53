package org.snipeslip.server.runtime;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.function.LongPredicate;
import org.snipeslip.core.instance.DiscoveryInstance;
import org.snipeslip.core.instance.Event;
import org.snipeslip.server.http.SimpleHttpClient;

/** The links of an instance to the internal ports of others, and the handler of its own port. */
final class InstanceLinks implements HttpHandler {
    private final SuspectLink.Http suspects;
    private final RolloutLink.Http rollouts;
    private final DetourLink.Http detours;
    private final QuotaLink.Http quotas;
    private final AnnouncementLink.Http announcements;
    private final HttpHandler otherRequests;

    /**
     * Creates the links of an instance and gives them to its driver.
     *
     * @param acceptsPassedCalls tells whether calls that need a version of the configuration may be
     *     passed to this instance
     * @param otherRequests handles requests that are for none of the links
     */
    InstanceLinks(
            SimpleHttpClient httpClient,
            DiscoveryInstance instance,
            StateMachineDriver driver,
            LongPredicate acceptsPassedCalls,
            HttpHandler otherRequests) {
        InstanceClient client = new InstanceClient(httpClient);
        this.otherRequests = otherRequests;
        suspects =
                new SuspectLink.Http(
                        client,
                        message -> driver.handle(new Event.SuspectMessageReceived(message)),
                        instance::suspicionsFor,
                        digest -> instance.verdictOn(digest, System.nanoTime()));
        driver.setSuspectLink(suspects);
        rollouts =
                new RolloutLink.Http(
                        client, report -> instance.rolloutReported(report, System.nanoTime()));
        driver.setRolloutLink(rollouts);
        detours = new DetourLink.Http(client, acceptsPassedCalls);
        driver.setDetourLink(detours);
        quotas = new QuotaLink.Http(client, instance, driver);
        driver.setQuotaLink(quotas);
        announcements = new AnnouncementLink.Http(client, instance.knownInstances(), driver);
        driver.setAnnouncementLink(announcements);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        HttpHandler handler =
                switch (exchange.getRequestPath()) {
                    case SuspectLink.PATH -> suspects;
                    case RolloutLink.PATH -> rollouts;
                    case DetourLink.PATH -> detours;
                    case QuotaLink.PATH -> quotas;
                    case AnnouncementLink.PATH -> announcements;
                    default -> otherRequests;
                };
        handler.handleRequest(exchange);
    }
}
