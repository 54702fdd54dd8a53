package org.snipeslip.core.instance;

import java.util.List;
import org.snipeslip.core.call.CallHead;
import org.snipeslip.core.call.LoadReport;
import org.snipeslip.core.call.ServerPresence;
import org.snipeslip.core.call.TryFailure;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.discovery.DiscoveryRequest;
import org.snipeslip.core.discovery.DiscoveryResponse;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.quota.QuotaAnswer;
import org.snipeslip.core.rollout.RolloutStep;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.suspect.SuspectMessage;
import org.snipeslip.core.suspect.Verdict;

/** An input of the state machine: something that happened outside of it. */
public sealed interface Event {
    /** The first event of an instance, on which engines start their periodic work. */
    record Started() implements Event {}

    /**
     * The steady clock has not counted a part of the time that has passed, because the process was
     * frozen: what was dated before is older than its date says.
     */
    record ClockJumped() implements Event {}

    /**
     * The head of a request was received from a caller; its body has not been read yet.
     *
     * @param request identifies the call
     * @param head the parts of the request head that decisions depend on
     */
    record CallArrived(RequestId request, CallHead head) implements Event {}

    /**
     * The head of a backend server's response arrived.
     *
     * @param tryId the try
     * @param status HTTP status code
     * @param load load reported in the response
     */
    record TryAnswered(TryId tryId, int status, LoadReport load) implements Event {}

    /**
     * The complete response was relayed to the caller.
     *
     * @param tryId the try
     * @param recordable the response to record for duplicates of the call
     */
    record TryCompleted(TryId tryId, RecordableAnswer recordable) implements Event {}

    /**
     * A try ended without a complete response.
     *
     * @param tryId the try
     * @param failure kind of the failure
     * @param load load reported with a refusal, or unknown
     */
    record TryFailed(TryId tryId, TryFailure failure, LoadReport load) implements Event {}

    /**
     * The caller closed its connection before the response was complete.
     *
     * @param request the call
     */
    record CallerDisconnected(RequestId request) implements Event {}

    /**
     * A message was received from another instance.
     *
     * @param from the authenticated sender
     * @param message the message
     */
    record PeerMessageReceived(InstanceId from, PeerMessage message) implements Event {}

    /**
     * An object API call ended.
     *
     * @param call identifies the call, as in {@link Action.CallStore}
     * @param answer the response or failure
     */
    record StoreAnswered(StoreCallId call, StoreAnswer answer) implements Event {}

    /**
     * A timer expired.
     *
     * @param timer identifies the timer
     */
    record TimerFired(TimerId timer) implements Event {}

    /**
     * A probe was answered.
     *
     * @param service the service
     * @param backendServer the backend server
     * @param load load reported in the response
     * @param sizeBytes bytes sent and received for the probe
     */
    record ProbeAnswered(
            ServiceId service, BackendServerId backendServer, LoadReport load, long sizeBytes)
            implements Event {}

    /**
     * A probe received no usable response.
     *
     * @param service the service
     * @param backendServer the backend server
     */
    record ProbeFailed(ServiceId service, BackendServerId backendServer) implements Event {}

    /** The platform or an operator requested a planned stop. */
    record StopRequested() implements Event {}

    /**
     * A request to the discovery store ended.
     *
     * @param request the request, as in {@link Action.SendDiscoveryRequest}
     * @param response the response or failure
     */
    record DiscoveryResponded(DiscoveryRequest request, DiscoveryResponse response)
            implements Event {}

    /**
     * The request of a call has been read to its end, so that its digest is known, and its last
     * bytes have not been sent; or as far as {@link Action.ReadRequest} demands.
     *
     * @param request the call
     * @param partlySent whether a part of the request may have reached a backend server
     */
    record RequestRead(RequestId request, boolean partlySent) implements Event {}

    /**
     * A check of a backend server ended.
     *
     * @param service the service
     * @param backendServer the backend server
     * @param presence what the check has shown
     */
    record ServerChecked(ServiceId service, BackendServerId backendServer, ServerPresence presence)
            implements Event {}

    /**
     * A message about a suspected request was received from another instance.
     *
     * @param message the message
     */
    record SuspectMessageReceived(SuspectMessage message) implements Event {}

    /**
     * A message about a suspected request was delivered, or could not be.
     *
     * @param sent the message
     * @param delivered whether the other instance has confirmed it
     */
    record SuspectMessageSent(Action.SendSuspectMessage sent, boolean delivered) implements Event {}

    /**
     * Another instance has told which suspected requests it knows of.
     *
     * @param messages what it knows
     */
    record SuspicionsPulled(List<SuspectMessage> messages) implements Event {}

    /**
     * An instance of the home regions has answered a question about a request.
     *
     * @param asked the question
     * @param verdict the answer, or null if there was none in time
     */
    record SuspicionAnswered(Action.AskSuspicion asked, Verdict verdict) implements Event {}

    /**
     * A report on a rollout was answered, or could not be delivered.
     *
     * @param sent the report
     * @param answer the step to follow; null if there was no answer in time, or the other instance
     *     does not know the order
     */
    record RolloutReportEnded(Action.SendRolloutReport sent, RolloutStep answer) implements Event {}

    /**
     * A backend server was tried on a new connection.
     *
     * @param target the backend server
     * @param reached whether there was a response, whatever it said
     */
    record LinkTested(BackendServer target, boolean reached) implements Event {}

    /**
     * Another instance was asked whether it would send calls for this one.
     *
     * @param address address of the instance
     * @param willing whether it would; false also if there was no answer in time
     */
    record DetourAnswered(String address, boolean willing) implements Event {}

    /**
     * Another instance has answered a question about quotas.
     *
     * @param asked the question
     * @param answer the answer, or null if there was none in time
     */
    record QuotaAnswered(Action.AskQuota asked, QuotaAnswer answer) implements Event {}

    /**
     * An announcement of this instance was confirmed, or could not be delivered.
     *
     * @param sent the announcement
     * @param delivered whether the other instance counts this one from now on
     */
    record AnnouncementEnded(Action.AnnounceInstance sent, boolean delivered) implements Event {}
}
