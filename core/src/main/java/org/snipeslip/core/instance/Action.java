package org.snipeslip.core.instance;

import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.call.Handover;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.detour.LinkChange;
import org.snipeslip.core.discovery.ConfigOrigin;
import org.snipeslip.core.discovery.DiscoveryRecord;
import org.snipeslip.core.discovery.DiscoveryRequest;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.quota.QuotaAsk;
import org.snipeslip.core.ratelimit.RateLimit;
import org.snipeslip.core.rollout.RolloutChange;
import org.snipeslip.core.rollout.RolloutReport;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.suspect.SuspectChange;
import org.snipeslip.core.suspect.SuspectMessage;
import org.snipeslip.core.suspect.SuspectQuestion;

/** An effect that the runtime must execute on behalf of the state machine. */
public sealed interface Action {
    /**
     * Sends a call to a backend server, or to another instance that sends it to one.
     *
     * @param tryId identifies the try
     * @param service the service
     * @param target the backend server to send it to
     * @param remainingNanos time left until the deadline of the call
     * @param retriesLeft retry budget, passed on in the request
     * @param keepAnswer whether {@link Event.TryCompleted} must contain the response
     * @param handover what to state if the target is another instance, or null
     * @param organisation the caller's organisation, of which backend servers are told, or null
     */
    record SendTry(
            TryId tryId,
            ServiceId service,
            BackendServer target,
            long remainingNanos,
            int retriesLeft,
            boolean keepAnswer,
            Handover handover,
            OrganisationId organisation)
            implements Action {
        /** Sends a call to a backend server. */
        public SendTry(
                TryId tryId,
                ServiceId service,
                BackendServer target,
                long remainingNanos,
                int retriesLeft,
                boolean keepAnswer,
                OrganisationId organisation) {
            this(
                    tryId,
                    service,
                    target,
                    remainingNanos,
                    retriesLeft,
                    keepAnswer,
                    null,
                    organisation);
        }

        /** Sends a call without an organisation to a backend server. */
        public SendTry(
                TryId tryId,
                ServiceId service,
                BackendServer target,
                long remainingNanos,
                int retriesLeft,
                boolean keepAnswer) {
            this(tryId, service, target, remainingNanos, retriesLeft, keepAnswer, null, null);
        }
    }

    /**
     * Cancels a try; its connection must not be reused unless nothing was sent on it.
     *
     * @param tryId the try
     */
    record CancelTry(TryId tryId) implements Action {}

    /**
     * Relays the response of a try to the caller.
     *
     * @param tryId the try whose response head arrived
     */
    record RelayAnswer(TryId tryId) implements Action {}

    /**
     * Answers the caller with the recorded response to an earlier submission of the same call.
     *
     * @param request the call
     * @param answer the recorded response
     */
    record ReplayAnswer(RequestId request, RecordableAnswer answer) implements Action {}

    /**
     * Refuses a call.
     *
     * @param request the call
     * @param refusal reason and status to report to the caller
     */
    record RefuseCaller(RequestId request, Refusal refusal) implements Action {}

    /**
     * Sends a message to another instance; delivery is not guaranteed.
     *
     * @param to the recipient, or null if only its address is known
     * @param address address on which the recipient listens
     * @param message the message
     */
    record SendPeerMessage(InstanceId to, PeerAddress address, PeerMessage message)
            implements Action {}

    /**
     * Calls the object API; the response is reported as {@link Event.StoreAnswered}.
     *
     * @param call identifies the call; the response repeats it
     * @param request the request
     */
    record CallStore(StoreCallId call, StoreRequest request) implements Action {}

    /**
     * Sets a timer; the pending one with the same id is replaced.
     *
     * @param timer identifies the timer in {@link Event.TimerFired}
     * @param delayNanos delay from now
     * @param unlessEarlier whether a pending one that fires earlier is kept. An engine with one
     *     timer for all that is due needs this: two threads may execute their actions in another
     *     order than the engine decided on them
     */
    record SetTimer(TimerId timer, long delayNanos, boolean unlessEarlier) implements Action {
        /** Sets a timer that replaces the pending one in any case. */
        public SetTimer(TimerId timer, long delayNanos) {
            this(timer, delayNanos, false);
        }
    }

    /**
     * Probes the load of a backend server; the probe budget has already been charged.
     *
     * @param service the service
     * @param target the backend server
     * @param path path of the probe request
     */
    record SendProbe(ServiceId service, BackendServer target, String path) implements Action {}

    /**
     * Records a decision in the log and keeps it for requests that ask for an explanation.
     *
     * @param decision the decision
     */
    record RecordDecision(DecisionRecord decision) implements Action {}

    /**
     * Reports that a configuration is now in force.
     *
     * @param config the configuration
     * @param origin where it was discovered, or null if it was published to this instance
     */
    record ConfigAdopted(ConfigSet config, ConfigOrigin origin) implements Action {
        /** Reports a configuration that was not discovered. */
        public ConfigAdopted(ConfigSet config) {
            this(config, null);
        }
    }

    /**
     * Reports that the planned stop is complete, so that the process can end.
     *
     * @param openCalls number of calls still open when the time limit was reached
     */
    record FinishStop(int openCalls) implements Action {}

    /**
     * Sends a request to the discovery store; the response is reported as {@link
     * Event.DiscoveryResponded}.
     *
     * @param request the request
     */
    record SendDiscoveryRequest(DiscoveryRequest request) implements Action {}

    /**
     * Stops accepting connections and closes those without an open call, after the load balancer in
     * front had time to stop sending callers to this instance.
     */
    record StopAccepting() implements Action {}

    /**
     * Reports that a backend server names another rate limit than before, for the log.
     *
     * @param service the service
     * @param backendServer the backend server
     * @param before what it named before
     * @param now what it names now
     * @param share calls that this instance may send in a window while a limit is named
     * @param byProbe whether the response was one to a probe
     */
    record RateLimitChanged(
            ServiceId service,
            BackendServerId backendServer,
            RateLimit before,
            RateLimit now,
            int share,
            boolean byProbe)
            implements Action {}

    /**
     * Reports that calls of a service begin or cease to be refused for their share of scarce room,
     * for the log.
     *
     * @param service the service
     * @param isShort whether there is too little room now
     * @param admittedPart the part of its calls for which there is room, from 0 to 1
     */
    record ShortageChanged(ServiceId service, boolean isShort, double admittedPart)
            implements Action {}

    /**
     * Reports that a backend server has said that it will end, for the log.
     *
     * @param service the service
     * @param backendServer the backend server
     * @param incarnation the start of the server that said it
     * @param byProbe whether the response was one to a probe
     */
    record ServerLeaving(
            ServiceId service, BackendServerId backendServer, long incarnation, boolean byProbe)
            implements Action {}

    /**
     * Reports that a backend server has become cold by its own word, for the log.
     *
     * @param service service of the server
     * @param backendServer the server
     * @param coldMillis how long it will be cold
     * @param byProbe whether the answer to a probe says so
     */
    record ServerCold(
            ServiceId service, BackendServerId backendServer, long coldMillis, boolean byProbe)
            implements Action {}

    /**
     * Reports that the store was restored from a copy, for the log.
     *
     * @param eraBefore the era that was known before
     * @param era the era that a response has shown
     */
    record StoreRestored(long eraBefore, long era) implements Action {}

    /**
     * Checks whether a backend server is still running, on a connection of its own; the result is
     * reported as {@link Event.ServerChecked}.
     *
     * @param service the service
     * @param target the backend server
     * @param path path of a probe request
     */
    record CheckServer(ServiceId service, BackendServer target, String path) implements Action {}

    /**
     * Reports a change of what is believed about a request that may crash servers, for the log.
     *
     * @param change the change
     */
    record SuspicionChanged(SuspectChange change) implements Action {}

    /**
     * Sends a message about a suspected request to another instance; the result is reported as
     * {@link Event.SuspectMessageSent}.
     *
     * @param address address of the instance, IP:PORT
     * @param message the message
     * @param sends how often it has been sent, this time included
     */
    record SendSuspectMessage(String address, SuspectMessage message, int sends)
            implements Action {}

    /**
     * Asks another instance for the suspected requests that it knows of; they are reported as
     * {@link Event.SuspicionsPulled}.
     *
     * @param address address of the instance, IP:PORT
     * @param region region of this instance
     */
    record PullSuspicions(String address, RegionId region) implements Action {}

    /**
     * Reads the request of a call as far as it fits into memory, before it is sent anywhere; the
     * end is reported as {@link Event.RequestRead}.
     *
     * @param request the call
     * @param remainingNanos time until the deadline of the call, at which it is reported at the
     *     latest
     */
    record ReadRequest(RequestId request, long remainingNanos) implements Action {}

    /**
     * Asks an instance of the home regions about a request; the answer is reported as {@link
     * Event.SuspicionAnswered}.
     *
     * @param address address of the instance, IP:PORT
     * @param question the question
     * @param asks how many instances were asked, this one included
     */
    record AskSuspicion(String address, SuspectQuestion question, int asks) implements Action {}

    /**
     * Reports to the judge of a rollout; the end is reported as {@link Event.RolloutReportEnded}.
     *
     * @param address address of the instance, IP:PORT
     * @param report the report
     */
    record SendRolloutReport(String address, RolloutReport report) implements Action {}

    /**
     * Reports a change of a rollout, for the log.
     *
     * @param change the change
     */
    record RolloutChanged(RolloutChange change) implements Action {}

    /**
     * Tries to reach a backend server on a new connection; the result is reported as {@link
     * Event.LinkTested}.
     *
     * @param service the service
     * @param target the backend server
     * @param path path of a probe request
     */
    record TestLink(ServiceId service, BackendServer target, String path) implements Action {}

    /**
     * Reports a change of what is believed about the links to the backend servers, for the log.
     *
     * @param change the change
     */
    record LinksChanged(LinkChange change) implements Action {}

    /**
     * Asks another instance whether it would send calls to backend servers for this one; the answer
     * is reported as {@link Event.DetourAnswered}.
     *
     * @param address address of the instance, IP:PORT
     * @param version version of the configuration that it must have
     */
    record AskDetour(String address, long version) implements Action {}

    /**
     * Asks another instance to lend parts of quotas; the answer is reported as {@link
     * Event.QuotaAnswered}.
     *
     * @param instance name of the instance
     * @param address its address, IP:PORT
     * @param ask the question
     */
    record AskQuota(String instance, String address, QuotaAsk ask) implements Action {}

    /**
     * Tells another instance that this one has started; the end is reported as {@link
     * Event.AnnouncementEnded}.
     *
     * @param recipient name of the other instance
     * @param address its address, IP:PORT
     * @param announced this instance
     */
    record AnnounceInstance(String recipient, String address, DiscoveryRecord.Instance announced)
            implements Action {}

    /**
     * Reports a change of the part that this instance has in shared limits, for the log.
     *
     * @param instances number of instances that share them
     * @param counted whether this instance has a part
     */
    record InstanceShareChanged(int instances, boolean counted) implements Action {}
}
