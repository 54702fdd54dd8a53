package org.snipeslip.server.runtime;

import org.snipeslip.core.instance.Instance;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.store.StoreCallLimiter;
import org.snipeslip.peer.PeerCounters;
import org.snipeslip.peer.PeerTransport;

/**
 * Formats the state of the control engine for operators: members, configuration generation, object
 * API calls and peer traffic.
 */
final class ControlReport {
    private ControlReport() {}

    /** Returns a line for each member, followed by a line for each of the other topics. */
    static String text(Instance instance, PeerTransport transport) {
        StringBuilder text = new StringBuilder();
        for (MemberUpdate member : instance.control().members().members()) {
            text.append("member ").append(member.id());
            text.append(' ').append(member.status());
            text.append(" incarnation ").append(member.incarnation());
            text.append(" region ").append(member.region());
            text.append(" address ").append(member.address()).append('\n');
        }
        StoreCallLimiter limiter = instance.storeCallLimiter();
        PeerCounters counters = transport.counters();
        text.append("generation ").append(instance.configInForce().generation());
        text.append(" watcher ").append(instance.control().isWatcher()).append('\n');
        text.append("object-api failures ").append(limiter.consecutiveFailures());
        text.append(" in-flight ").append(limiter.callsInFlight());
        text.append(" waiting ").append(limiter.waitingCalls()).append('\n');
        text.append("peers messages-in ").append(counters.messagesIn());
        text.append(" messages-out ").append(counters.messagesOut());
        text.append(" bytes-in ").append(counters.bytesIn());
        text.append(" bytes-out ").append(counters.bytesOut());
        text.append(" dropped ").append(counters.dropped());
        text.append(" refused-frames ").append(counters.refusedFrames()).append('\n');
        return text.toString();
    }
}
