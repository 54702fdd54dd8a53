package org.snipeslip.core.instance;

import java.util.List;
import java.util.Map;
import org.snipeslip.core.access.AccessSettings;
import org.snipeslip.core.access.ProofSource;
import org.snipeslip.core.call.CallEngine;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.call.QuotaGate;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.discovery.ConfigProof;
import org.snipeslip.core.discovery.DiscoveredConfig;
import org.snipeslip.core.discovery.DiscoveryEngine;
import org.snipeslip.core.discovery.DiscoveryEngineSettings;
import org.snipeslip.core.discovery.DiscoveryKind;
import org.snipeslip.core.discovery.DiscoveryRequest;
import org.snipeslip.core.discovery.DiscoveryResponse;
import org.snipeslip.core.discovery.StoreRevision;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.quota.QuotaAnswer;
import org.snipeslip.core.quota.QuotaAsk;
import org.snipeslip.core.quota.QuotaCounters;
import org.snipeslip.core.quota.QuotaReturn;
import org.snipeslip.core.quota.QuotaSettings;
import org.snipeslip.core.quota.Quotas;
import org.snipeslip.core.rollout.RolloutEngine;
import org.snipeslip.core.rollout.RolloutReport;
import org.snipeslip.core.rollout.RolloutStep;
import org.snipeslip.core.rollout.RolloutTable;
import org.snipeslip.core.suspect.SuspectAnswer;
import org.snipeslip.core.suspect.SuspectChange;
import org.snipeslip.core.suspect.SuspectMessage;
import org.snipeslip.core.suspect.SuspectQuestion;
import org.snipeslip.core.suspect.SuspectSharing;
import org.snipeslip.core.suspect.SuspectTable;
import org.snipeslip.core.suspect.Verdict;

/**
 * The state machine of an instance whose configuration and backend servers are discovered from a
 * store: {@link DiscoveryEngine} watches the store and {@link CallEngine} handles calls. The
 * instance has no peers and no at-most-once claims.
 */
public final class DiscoveryInstance implements StateMachine {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AccessSettings access;
    private final CallEngine calls;
    private final DiscoveryEngine discovery;
    private final SuspectTable suspects;
    private final SuspectSharing sharing;
    private final RolloutEngine rollouts;
    private final StopSequence stop;
    private final KnownInstances instances;

    /** Null if the deployment has no quotas. */
    private final Quotas quotas;

    private volatile ConfigSet inForce = ConfigSet.EMPTY;

    /**
     * Creates an instance without configuration.
     *
     * @param settings settings of discovery
     * @param call settings of calls
     * @param region region of this instance
     * @param failureDomain failure domain of this instance
     * @param stopSettings settings of a planned stop
     * @param access how fresh the configuration must be for calls with an API key
     * @param quotaSettings by how much quotas may be exceeded, or null if there are none
     * @param seed seed of the random choices
     */
    public DiscoveryInstance(
            DiscoveryEngineSettings settings,
            CallSettings call,
            RegionId region,
            FailureDomainId failureDomain,
            StopSettings stopSettings,
            AccessSettings access,
            QuotaSettings quotaSettings,
            long seed) {
        this.suspects = new SuspectTable(seed + 2);
        this.sharing = new SuspectSharing(settings.instance(), region, suspects, seed + 3);
        this.access = access;
        RolloutTable versions = new RolloutTable(settings.rollout(), seed + 4);
        this.rollouts = new RolloutEngine(settings.instance(), versions, seed);
        this.calls =
                new CallEngine(
                        call,
                        region,
                        failureDomain,
                        suspects,
                        versions,
                        access,
                        this::provenAtNanos,
                        seed);
        this.discovery = new DiscoveryEngine(settings, seed + 1);
        this.stop = new StopSequence(stopSettings);
        this.quotas =
                quotaSettings == null
                        ? null
                        : new Quotas(settings.instance(), region, quotaSettings, seed + 5);
        calls.quotaGate().setQuotas(quotas);
        this.instances = new KnownInstances(discovery, calls, sharing, rollouts, quotas);
    }

    @Override
    public boolean maySend(TryId tryId) {
        return calls.maySend(tryId);
    }

    @Override
    public List<Action> handle(Event event, long nowNanos) {
        Outbox outbox = new Outbox();
        dispatch(event, nowNanos, outbox);
        Object message;
        while ((message = outbox.pollEngineMessage()) != null) {
            if (message instanceof Action.ConfigAdopted adopted) {
                adopt(adopted, nowNanos, outbox);
            } else if (message instanceof Action.SuspicionChanged changed
                    && changed.change().source() != SuspectChange.Source.INSTANCE) {
                sharing.share(changed.change(), nowNanos, outbox);
            } else if (message instanceof SuspectChange foreign) {
                sharing.share(foreign, nowNanos, outbox);
            } else if (message instanceof SuspectQuestion question) {
                sharing.ask(question, outbox);
            } else if (message instanceof SuspectAnswer answer) {
                calls.suspicionAnswered(answer, nowNanos, outbox);
            } else if (message instanceof QuotaReturn ended) {
                quotas.returned(ended.organisation(), ended.admittedNanos(), nowNanos);
            }
        }
        if (stop.isStopping() && stop.finishIfDone(true, calls::openCalls)) {
            int open = calls.openCalls();
            calls.abort(nowNanos, outbox);
            outbox.add(new Action.FinishStop(open));
        }
        return outbox.actions();
    }

    /**
     * Returns the objects in force.
     *
     * @return the set, or {@link ConfigSet#EMPTY} before the first one
     */
    public ConfigSet configInForce() {
        return inForce;
    }

    /**
     * Returns the discovered configuration in force.
     *
     * @return the configuration, or null before the first one
     */
    public DiscoveredConfig discoveredConfig() {
        return discovery.config();
    }

    /**
     * Answers the poll of another instance.
     *
     * @param revisions for each kind, up to which revision the other one knows all changes
     * @param indirect whether this instance may answer although it follows another one
     * @param nowNanos the current time of a monotonic clock
     * @return the changes since then, or why there is no answer
     */
    public PeerAnswer answerPeer(
            Map<DiscoveryKind, StoreRevision> revisions, boolean indirect, long nowNanos) {
        Outbox outbox = new Outbox();
        DiscoveryResponse response = discovery.answerPeer(revisions, indirect, nowNanos, outbox);
        return new PeerAnswer(response, outbox.actions());
    }

    /**
     * Answers another instance that wants to borrow parts of quotas.
     *
     * @param ask the question
     * @param nowNanos a time after the question was received
     * @param outbox receives the actions to execute
     * @return what is lent
     */
    public QuotaAnswer answerQuotas(QuotaAsk ask, long nowNanos, Outbox outbox) {
        return quotas == null
                ? new QuotaAnswer(false, List.of())
                : quotas.answer(ask, nowNanos, outbox);
    }

    /**
     * Returns the counters of quotas.
     *
     * @param nowNanos the current time
     * @return the counters, all zero without quotas
     */
    public QuotaCounters quotaCounters(long nowNanos) {
        return quotas == null ? QuotaCounters.NONE : quotas.counters(nowNanos);
    }

    /**
     * Returns what another instance has to know about suspected requests.
     *
     * @param region region of the other instance
     * @return notices and alerts
     */
    public List<SuspectMessage> suspicionsFor(RegionId region) {
        return sharing.messagesFor(region);
    }

    /**
     * Decides about a request for an instance outside its home regions.
     *
     * @param digest identifies the request
     * @param nowNanos the current time
     * @return whether it may be sent
     */
    public Verdict verdictOn(RequestDigest digest, long nowNanos) {
        return suspects.verdict(digest, nowNanos);
    }

    /**
     * Handles the report of another instance on a rollout.
     *
     * @param report the report
     * @param nowNanos the current time
     * @return the step to follow, or null if this instance does not know the order
     */
    public RolloutStep rolloutReported(RolloutReport report, long nowNanos) {
        return rollouts.received(report, nowNanos);
    }

    /**
     * Returns how many rollouts are undecided.
     *
     * @return orders that this instance follows
     */
    public int openRollouts() {
        return rollouts.openRollouts();
    }

    /**
     * Returns whether another instance may pass calls to this one.
     *
     * @param version version of the configuration that is needed
     * @return true if the instance is ready and reaches backend servers
     */
    public boolean acceptsPassedCalls(long version) {
        return isReady() && calls.acceptsPassedCalls(version);
    }

    /**
     * Returns whether this instance reaches no backend server.
     *
     * @return true if calls are passed to other instances
     */
    public boolean isCutOff() {
        return calls.isCutOff();
    }

    /**
     * Returns how many other instances are known.
     *
     * @return instances with an address
     */
    public int otherInstanceCount() {
        return discovery.otherInstances().size();
    }

    /**
     * Returns what is known of the other instances.
     *
     * @return the other instances and the part of this one in shared limits
     */
    public KnownInstances knownInstances() {
        return instances;
    }

    /**
     * Returns how many requests are or were under suspicion.
     *
     * @return entries of the table
     */
    public int suspectCount() {
        return suspects.size();
    }

    /**
     * Returns whether changes are heard from another instance.
     *
     * @return false if the store is followed
     */
    public boolean followsPeer() {
        return discovery.followsPeer();
    }

    /**
     * Returns whether the instance is ready for calls.
     *
     * @return true once a configuration is in force, until a stop is requested
     */
    public boolean isReady() {
        return inForce.generation().number() > 0 && !stop.isStopping();
    }

    private void dispatch(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.Started e -> {
                discovery.handle(e, nowNanos, outbox);
                sharing.start(nowNanos, outbox);
            }
            case Event.ClockJumped e -> {
                discovery.handle(e, nowNanos, outbox);
                if (quotas != null) {
                    quotas.clockJumped(nowNanos);
                }
            }
            case Event.SuspectMessageReceived e -> sharing.received(e.message(), nowNanos, outbox);
            case Event.SuspectMessageSent e ->
                    sharing.sendEnded(e.sent(), e.delivered(), nowNanos, outbox);
            case Event.SuspicionsPulled e -> sharing.pulled(e.messages(), nowNanos, outbox);
            case Event.SuspicionAnswered e -> sharing.askEnded(e.asked(), e.verdict(), outbox);
            case Event.QuotaAnswered e -> {
                quotas.answered(e.asked(), e.answer(), nowNanos, outbox);
                calls.quotaGate().retry(nowNanos, outbox);
            }
            case Event.TimerFired e when e.timer().equals(Quotas.TIMER) ->
                    quotas.timerFired(nowNanos, outbox);
            case Event.TimerFired e when e.timer().equals(QuotaGate.TIMER) ->
                    calls.quotaGate().retry(nowNanos, outbox);
            case Event.TimerFired e when e.timer().owner() == EngineName.SUSPECTS ->
                    sharing.timerFired(nowNanos, outbox);
            case Event.DiscoveryResponded e -> {
                if (e.request() instanceof DiscoveryRequest.WriteRollout
                        || e.request() instanceof DiscoveryRequest.ReadRollout) {
                    rollouts.responded(e, nowNanos, outbox);
                } else {
                    discovery.handle(e, nowNanos, outbox);
                    instances.update(nowNanos, outbox);
                }
            }
            case Event.AnnouncementEnded e -> {
                discovery.handle(e, nowNanos, outbox);
                instances.update(nowNanos, outbox);
            }
            case Event.RolloutReportEnded e ->
                    rollouts.reportEnded(e.sent(), e.answer(), nowNanos, outbox);
            case Event.TimerFired e when e.timer().owner() == EngineName.ROLLOUTS ->
                    rollouts.timerFired(nowNanos, outbox);
            case Event.TimerFired e when e.timer().owner() == EngineName.CONTROL -> {
                discovery.handle(e, nowNanos, outbox);
                instances.updateIfShareChanged(nowNanos, outbox);
            }
            case Event.TimerFired e when e.timer().owner() == EngineName.INSTANCE -> {
                boolean wasFinishing = stop.isFinishing();
                stop.timerFired(e.timer());
                if (!wasFinishing && stop.isFinishing()) {
                    outbox.add(new Action.StopAccepting());
                }
            }
            case Event.CallArrived e ->
                    stop.admit(e, outbox, () -> calls.handle(e, nowNanos, outbox));
            case Event.StopRequested e -> stop.request(outbox);
            default -> calls.handle(event, nowNanos, outbox);
        }
    }

    /**
     * Returns how long ago the configuration in force was known to be the newest one.
     *
     * @param nowNanos the current time of a monotonic clock
     * @return the age in milliseconds, or -1 if that is not known
     */
    public long proofAgeMillis(long nowNanos) {
        long provenNanos = provenAtNanos(Long.MAX_VALUE);
        return provenNanos == ProofSource.NONE ? -1 : (nowNanos - provenNanos) / NANOS_PER_MILLI;
    }

    private long provenAtNanos(long version) {
        if (!access.needsProof()) {
            return discovery.knownAsOfNanos();
        }
        ConfigProof proof = discovery.proof();
        return proof.version() <= version ? proof.atNanos() : ProofSource.NONE;
    }

    private synchronized void adopt(Action.ConfigAdopted adopted, long nowNanos, Outbox outbox) {
        ConfigSet config = adopted.config();
        if (config.generation().isNewerThan(inForce.generation())) {
            calls.configure(config, adopted.origin().version(), nowNanos, outbox);
            if (quotas != null) {
                quotas.configure(config);
            }
            inForce = config;
            rollouts.configure(config, nowNanos, outbox);
        }
    }
}
