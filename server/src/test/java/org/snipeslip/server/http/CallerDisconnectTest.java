package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.instance.Event;

/** Tests callers that disconnect early or pipeline requests, and the shutdown of the instance. */
class CallerDisconnectTest {
    private HttpFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HttpFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against a backend server that keeps working after the caller disconnected. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectBeforeResponseCancelsTheTry(boolean reset) throws Exception {
        RawSocket caller = fixture.call(HttpFixture.get("/a"));
        RawSocket backend = fixture.backend.acceptRequest();
        disconnect(caller, reset);
        fixture.engine.await(Event.CallerDisconnected.class);
        assertThat(backend.readRest().text()).isEmpty();
    }

    /** Guards against reading a whole response although the caller disconnected. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectDuringResponseCancelsTheTry(boolean reset) throws Exception {
        RawSocket caller = fixture.call(HttpFixture.get("/a"));
        RawSocket backend = fixture.backend.acceptRequest();
        backend.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc");
        caller.readHead();
        assertThat(caller.read(3)).isEqualTo("abc");
        disconnect(caller, reset);
        fixture.engine.await(Event.CallerDisconnected.class);
        backend.readRest();
    }

    /** Guards against an incomplete request body that keeps the backend server busy. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 10\r\n\r\nabc",
                "Content-Length: 100000\r\n\r\nabc",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            })
    void disconnectDuringRequestBodyCancelsTheTry(String body) throws Exception {
        RawSocket caller = fixture.call("POST /a HTTP/1.1\r\nHost: h\r\n" + body);
        fixture.engine.await(Event.CallArrived.class);
        caller.close();
        fixture.engine.await(Event.CallerDisconnected.class);
    }

    /** Guards against a pipelined request that is lost or mistaken for a disconnect. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (RawSocket caller = fixture.call(HttpFixture.get("/a"))) {
            RawSocket first = fixture.backend.acceptRequest();
            caller.write(HttpFixture.get("/b") + HttpFixture.get("/c"));
            first.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n/a");
            first.close();
            Thread answering = fixture.backend.startRespondingWithTargets();
            for (String target : new String[] {"/a", "/b", "/c"}) {
                caller.readHead();
                assertThat(caller.read(2)).isEqualTo(target);
            }
            answering.interrupt();
        }
    }

    /** Guards against a planned stop that leaves idle connections open or cuts off open calls. */
    @Test
    void shutdownClosesIdleConnectionsButFinishesCalls() throws Exception {
        try (RawSocket idle = fixture.call(HttpFixture.get("/a"))) {
            RawSocket first = fixture.backend.acceptRequest();
            first.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertThat(idle.readHead()).doesNotContain("Connection: close");
            fixture.engine.await(Event.TryCompleted.class);
            RawSocket busy = fixture.call(HttpFixture.get("/b"));
            RawSocket second = fixture.backend.acceptRequest();
            fixture.callers.startDraining();
            fixture.callers.closeIdle();
            assertThat(idle.readRest().text()).isEmpty();
            second.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertThat(busy.readRest().text()).startsWith("HTTP/1.1 200 ").contains("close");
        }
    }

    private static void disconnect(RawSocket caller, boolean reset) throws IOException {
        if (reset) {
            caller.reset();
        } else {
            caller.close();
        }
    }
}
