package org.snipeslip.core.instance;

import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.discovery.FleetCall;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;

/** Something that the shell must carry out. */
public sealed interface Action {
    /**
     * Sends the call to a backend server.
     *
     * @param tryId names the try
     * @param service the service
     * @param target where to send it
     * @param remainingNanos time left until the call's deadline
     * @param retriesLeft retry budget passed on in the request
     * @param keepAnswer whether {@link Event.TryCompleted} must carry the answer
     */
    record SendTry(
            TryId tryId,
            ServiceId service,
            BackendServer target,
            long remainingNanos,
            int retriesLeft,
            boolean keepAnswer)
            implements Action {}

    /**
     * Ends a try; its connection must not be used again unless nothing was sent on it.
     *
     * @param tryId the try
     */
    record CancelTry(TryId tryId) implements Action {}

    /**
     * Relays the response of a try to the caller.
     *
     * @param tryId the try whose head arrived
     */
    record RelayAnswer(TryId tryId) implements Action {}

    /**
     * Answers the caller with the recorded answer of an earlier submission.
     *
     * @param request the call
     * @param answer the recorded answer
     */
    record ReplayAnswer(RequestId request, RecordableAnswer answer) implements Action {}

    /**
     * Answers the caller with a typed refusal.
     *
     * @param request the call
     * @param refusal the refusal
     */
    record RefuseCaller(RequestId request, Refusal refusal) implements Action {}

    /**
     * Sends a message to another instance; it may be lost.
     *
     * @param to the receiver, or null if only its address is known
     * @param address where it listens
     * @param message the message
     */
    record SendPeer(InstanceId to, PeerAddress address, PeerMessage message) implements Action {}

    /**
     * Calls the object API; the answer comes as {@link Event.StoreAnswered}.
     *
     * @param call names the call; the answer carries it
     * @param request the call
     */
    record CallStore(StoreCallId call, StoreRequest request) implements Action {}

    /**
     * Sets a timer.
     *
     * @param timer the timer
     * @param delayNanos time from now
     */
    record SetTimer(TimerId timer, long delayNanos) implements Action {}

    /**
     * Probes a backend server for its load; the measuring budget was already charged.
     *
     * @param service the service
     * @param target the backend server
     * @param path path to ask
     */
    record SendProbe(ServiceId service, BackendServer target, String path) implements Action {}

    /**
     * Records a decision in the log and for explanation.
     *
     * @param decision the decision
     */
    record RecordDecision(DecisionRecord decision) implements Action {}

    /**
     * A configuration is now in force.
     *
     * @param config the configuration
     */
    record ConfigAdopted(ConfigSet config) implements Action {}

    /**
     * The planned stop is complete.
     *
     * @param openCalls calls still open when the time limit was reached
     */
    record FinishStop(int openCalls) implements Action {}

    /**
     * Call the store that holds the fleet's objects; {@link Event.FleetAnswered} follows.
     *
     * @param call the call
     */
    record CallFleet(FleetCall call) implements Action {}

    /**
     * Take no further connections, and close those without a call: the balancer in front has
     * stopped sending callers here.
     */
    record StopTaking() implements Action {}
}
