package org.snipeslip.core.instance;

import org.snipeslip.core.call.CallHead;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.discovery.FleetAnswer;
import org.snipeslip.core.discovery.FleetCall;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreCallId;

/** Something that happened outside the state machine. */
public sealed interface Event {
    /** The first event of an instance; engines begin their periodic work. */
    record Started() implements Event {}

    /**
     * The head of a caller's request was read; no byte of its body was.
     *
     * @param request names the call
     * @param head what the caller asked for
     */
    record CallArrived(RequestId request, CallHead head) implements Event {}

    /**
     * The head of a backend server's response arrived.
     *
     * @param tryId the try
     * @param status HTTP status code
     * @param load the load reported in the response
     */
    record TryAnswered(TryId tryId, int status, LoadReport load) implements Event {}

    /**
     * The whole response was relayed to the caller.
     *
     * @param tryId the try
     * @param recordable what a duplicate may be given later
     */
    record TryCompleted(TryId tryId, RecordableAnswer recordable) implements Event {}

    /**
     * A try ended without a whole response.
     *
     * @param tryId the try
     * @param failure what happened
     * @param load the load reported with a refusal, or unknown
     */
    record TryFailed(TryId tryId, TryFailure failure, LoadReport load) implements Event {}

    /**
     * The caller closed its connection before the answer was complete.
     *
     * @param request the call
     */
    record CallerGone(RequestId request) implements Event {}

    /**
     * A message from another instance.
     *
     * @param from the authenticated sender
     * @param message the message
     */
    record PeerReceived(InstanceId from, PeerMessage message) implements Event {}

    /**
     * The end of an object API call.
     *
     * @param call the call named in {@link Action.CallStore}
     * @param answer the answer
     */
    record StoreAnswered(StoreCallId call, StoreAnswer answer) implements Event {}

    /**
     * A timer is due.
     *
     * @param timer the timer
     */
    record TimerFired(TimerId timer) implements Event {}

    /**
     * A probe was answered.
     *
     * @param service the service
     * @param backendServer the backend server
     * @param load the load reported
     * @param sizeBytes bytes sent and received for it
     */
    record ProbeAnswered(
            ServiceId service, BackendServerId backendServer, LoadReport load, long sizeBytes)
            implements Event {}

    /**
     * A probe got no usable answer.
     *
     * @param service the service
     * @param backendServer the backend server
     */
    record ProbeFailed(ServiceId service, BackendServerId backendServer) implements Event {}

    /** The platform or an operator asked for a planned stop. */
    record StopRequested() implements Event {}

    /**
     * A call to the store that holds the fleet's objects ended.
     *
     * @param call the call
     * @param answer its answer
     */
    record FleetAnswered(FleetCall call, FleetAnswer answer) implements Event {}
}
