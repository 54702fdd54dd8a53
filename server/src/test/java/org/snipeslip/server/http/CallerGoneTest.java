package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.instance.Event;

/** Callers that leave early, or send more than one request. */
class CallerGoneTest {
    private ShellFixture shell;

    @BeforeEach
    void start() throws IOException {
        shell = new ShellFixture();
    }

    @AfterEach
    void stop() throws IOException {
        shell.close();
    }

    /** Guards against work that goes on at a backend server after its caller left. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void callerThatLeavesBeforeTheResponseCancelsTheTry(boolean reset) throws Exception {
        RawSocket caller = shell.call(ShellFixture.get("/a"));
        RawSocket backend = shell.backend.acceptRequest();
        leave(caller, reset);
        shell.engine.await(Event.CallerGone.class);
        assertThat(backend.readRest().text()).isEmpty();
    }

    /** Guards against a response that is read to its end for nobody. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void callerThatLeavesDuringTheResponseCancelsTheTry(boolean reset) throws Exception {
        RawSocket caller = shell.call(ShellFixture.get("/a"));
        RawSocket backend = shell.backend.acceptRequest();
        backend.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc");
        caller.readHead();
        assertThat(caller.read(3)).isEqualTo("abc");
        leave(caller, reset);
        shell.engine.await(Event.CallerGone.class);
        backend.readRest();
    }

    /** Guards against a body without end that keeps its backend server busy. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 10\r\n\r\nabc",
                "Content-Length: 100000\r\n\r\nabc",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            })
    void callerThatLeavesInItsBodyCancelsTheTry(String body) throws Exception {
        RawSocket caller = shell.call("POST /a HTTP/1.1\r\nHost: h\r\n" + body);
        shell.engine.await(Event.CallArrived.class);
        caller.close();
        shell.engine.await(Event.CallerGone.class);
    }

    /** Guards against a pipelined request that is lost or taken for the end of the caller. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (RawSocket caller = shell.call(ShellFixture.get("/a"))) {
            RawSocket first = shell.backend.acceptRequest();
            caller.write(ShellFixture.get("/b") + ShellFixture.get("/c"));
            first.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n/a");
            first.close();
            Thread answering = shell.backend.answerWithTarget();
            for (String target : new String[] {"/a", "/b", "/c"}) {
                caller.readHead();
                assertThat(caller.read(2)).isEqualTo(target);
            }
            answering.interrupt();
        }
    }

    /** Guards against idle connections that outlive a planned stop, and calls cut by it. */
    @Test
    void leavingInstanceEndsConnectionsButNotCalls() throws Exception {
        try (RawSocket idle = shell.call(ShellFixture.get("/a"))) {
            RawSocket first = shell.backend.acceptRequest();
            first.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertThat(idle.readHead()).doesNotContain("Connection: close");
            shell.engine.await(Event.TryCompleted.class);
            RawSocket busy = shell.call(ShellFixture.get("/b"));
            RawSocket second = shell.backend.acceptRequest();
            shell.callers.leave();
            shell.callers.closeIdle();
            assertThat(idle.readRest().text()).isEmpty();
            second.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertThat(busy.readRest().text()).startsWith("HTTP/1.1 200 ").contains("close");
        }
    }

    private static void leave(RawSocket caller, boolean reset) throws IOException {
        if (reset) {
            caller.reset();
        } else {
            caller.close();
        }
    }
}
