package org.snipeslip.server.runtime;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.discovery.CallerLimits;
import org.snipeslip.core.discovery.DiscoveredConfig;
import org.snipeslip.core.discovery.DiscoveredServer;
import org.snipeslip.core.discovery.DiscoveryKind;
import org.snipeslip.core.discovery.DiscoveryObject;
import org.snipeslip.core.discovery.DiscoveryRecord;
import org.snipeslip.core.discovery.DiscoveryRequest;
import org.snipeslip.core.discovery.DiscoveryResponse;
import org.snipeslip.core.discovery.ServiceConfig;
import org.snipeslip.core.discovery.StoreRevision;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.routing.RouteTable;

/** An in-memory store with one route, one service and one backend server, which never change. */
final class JvmWarmupStore implements DiscoveryStore {
    static final String PATH = "/rehearsal/";
    static final BackendServerId SERVER = new BackendServerId("rehearsal");

    private static final ServiceId SERVICE = new ServiceId("rehearsal");
    private static final StoreRevision REVISION = new StoreRevision(0, 1);
    private static final long LIMIT_MILLIS = 1_000;
    private static final int MAX_BYTES = 16 * 1024;

    private final FailureDomainId failureDomain;
    private final int port;

    /**
     * Creates a store.
     *
     * @param failureDomain failure domain of the backend server
     * @param port port of the backend server on the loopback interface
     */
    JvmWarmupStore(FailureDomainId failureDomain, int port) {
        this.failureDomain = failureDomain;
        this.port = port;
    }

    @Override
    public void send(DiscoveryRequest request, Consumer<DiscoveryResponse> consumer) {
        switch (request) {
            case DiscoveryRequest.ListPage page ->
                    consumer.accept(
                            new DiscoveryResponse.Page(objects(page.kind()), false, REVISION));
            case DiscoveryRequest.Register register ->
                    consumer.accept(new DiscoveryResponse.Registered(REVISION.era()));
            case DiscoveryRequest.WriteRollout write ->
                    throw new IllegalStateException("the warm-up has no rollouts");
            case DiscoveryRequest.ReadRollout read ->
                    throw new IllegalStateException("the warm-up has no rollouts");
            case DiscoveryRequest.PeerPoll poll ->
                    throw new IllegalStateException("the warm-up has no peers");
            case DiscoveryRequest.Watch watch -> {
                // Never answered: nothing changes, and nothing waits for the response after the
                // warm-up has ended.
            }
        }
    }

    private List<DiscoveryObject> objects(DiscoveryKind kind) {
        return switch (kind) {
            case CONFIG -> List.of(object("main", new DiscoveryRecord.Config(config())));
            case SERVERS -> List.of(object(SERVER.value(), new DiscoveryRecord.Server(server())));
            case EVACUATIONS, ROLLOUTS -> List.of();
            case INSTANCES ->
                    List.of(
                            object(
                                    "i",
                                    new DiscoveryRecord.Instance(
                                            new InstanceId("rehearsal"), "", "")));
        };
    }

    private static DiscoveryObject object(String name, DiscoveryRecord record) {
        return new DiscoveryObject(name, REVISION, false, record);
    }

    private static DiscoveredConfig config() {
        Route route =
                new Route(
                        new RouteId("rehearsal"),
                        RouteTable.ANY_HOST,
                        PATH,
                        Set.of(),
                        SERVICE,
                        CallClass.INTERACTIVE,
                        Route.SAFE_METHODS,
                        Set.of(),
                        LIMIT_MILLIS,
                        List.of(),
                        2,
                        LIMIT_MILLIS,
                        0);
        ServiceConfig serviceConfig = new ServiceConfig(SERVICE, PATH, MAX_BYTES, 0, 0);
        CallerLimits callerLimits =
                new CallerLimits(MAX_BYTES, MAX_BYTES, LIMIT_MILLIS, LIMIT_MILLIS);
        return new DiscoveredConfig(1, List.of(route), List.of(serviceConfig), callerLimits);
    }

    private DiscoveredServer server() {
        return new DiscoveredServer(
                SERVER, SERVICE, "127.0.0.1", port, failureDomain, 1, false, 0, 1, 1);
    }
}
