package org.snipeslip.server.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.control.ControlSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.idempotency.IdempotencySettings;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.server.settings.PeerSettings;
import org.snipeslip.server.settings.ProcessSettings;

/** Runs a complete process whose object API is unreachable. */
class EntryProcessTest {
    private static final String HOST = "127.0.0.1";

    private final int callerPort = freePort();
    private final int operatorPort = freePort();
    private final HttpClient client = HttpClient.newHttpClient();

    /** Guards against an operator port that reports a wrong readiness or omits a metric. */
    @Test
    void operatorPortReportsState() throws Exception {
        try (EntryProcess process = new EntryProcess(settings())) {
            assertThat(get(operatorPort, "/live").statusCode()).isEqualTo(200);
            assertThat(get(operatorPort, "/ready").statusCode()).isEqualTo(503);
            HttpResponse<String> refused = get(callerPort, "/none?secret=caller-data");
            assertThat(refused.statusCode()).isEqualTo(503);
            String request = refused.headers().firstValue("Snipeslip-Request-Id").orElseThrow();
            assertThat(get(operatorPort, "/explain?request=" + request).body())
                    .contains("\"reason\" : \"not-ready\"");
            assertThat(get(operatorPort, "/explain?request=none").statusCode()).isEqualTo(404);
            assertThat(get(operatorPort, "/explain").statusCode()).isEqualTo(400);
            assertThat(get(operatorPort, "/other").statusCode()).isEqualTo(404);
            assertThat(get(operatorPort, "/tables").body()).contains("\"generation\" : 0");
            assertThat(get(operatorPort, "/metrics").body())
                    .contains("# TYPE snipeslip_calls_total counter\n")
                    .contains("snipeslip_calls_total{result=\"refused\"} 1\n")
                    .contains("snipeslip_refusals_total{reason=\"not-ready\"} 1\n")
                    .contains("snipeslip_call_added_seconds_bucket{le=\"+Inf\"} 0\n")
                    .contains(
                            "snipeslip_call_duration_seconds_count 0\n", "snipeslip_tries_total 0")
                    .contains("snipeslip_open_calls 0\n", "snipeslip_backend_connections 0\n")
                    .contains("snipeslip_log_lines_dropped_total 0\n", "snipeslip_generation 0\n")
                    .contains("snipeslip_object_api_calls_total")
                    .contains("snipeslip_object_api_failures_total")
                    .doesNotContain("caller-data", "none");
        }
    }

    /** Guards against a stop that logs warnings or exceptions, or that leaves a port open. */
    @Test
    void stopLogsNoWarningAndClosesPorts() throws Exception {
        ListAppender<ILoggingEvent> logged = captureLog();
        EntryProcess process = new EntryProcess(settings());
        get(callerPort, "/a");
        process.requestStop();
        process.awaitStop();
        assertThat(get(operatorPort, "/ready").statusCode()).isEqualTo(503);
        process.close();
        new ServerSocket(callerPort).close();
        new ServerSocket(operatorPort).close();
        assertThat(logged.list)
                .filteredOn(event -> event.getLevel().isGreaterOrEqual(Level.WARN))
                .isEmpty();
    }

    private static ListAppender<ILoggingEvent> captureLog() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        ListAppender<ILoggingEvent> appender = new ListAppender<>();
        appender.setContext(context);
        appender.start();
        context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(appender);
        return appender;
    }

    private HttpResponse<String> get(int port, String target)
            throws IOException, InterruptedException {
        URI uri = URI.create("http://" + HOST + ":" + port + target);
        return client.send(
                HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private ProcessSettings settings() {
        InstanceSettings instance =
                new InstanceSettings(
                        new InstanceId("entry-1"),
                        new FailureDomainId("d"),
                        new RegionId("r"),
                        new PeerAddress(HOST, freePort()),
                        1,
                        CallSettings.DEFAULT,
                        ControlSettings.DEFAULT,
                        IdempotencySettings.DEFAULT,
                        StopSettings.DEFAULT);
        PeerSettings peers = new PeerSettings("a-key-of-32-bytes-for-this-test-", List.of());
        return new ProcessSettings(
                        instance,
                        InetSocketAddress.createUnresolved(HOST, callerPort),
                        InetSocketAddress.createUnresolved(HOST, operatorPort),
                        URI.create("http://" + HOST + ":" + freePort()),
                        2,
                        7)
                .withPeers(peers);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
