package org.snipeslip.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.suspect.SuspectPeer;

/**
 * Decides whether calls are within the quota of their organisation, which holds for the sum over
 * all instances. Each instance owns an equal part of what may be admitted in a window. Parts are
 * lent to where calls arrive, by way of one coordinator in each region; see {@link
 * OrganisationQuota} for why the sum never exceeds the quota. Guarded by its own lock, which is
 * acquired after those of the shards.
 */
public final class Quotas {
    /** Timer of the questions to other instances. */
    public static final TimerId TIMER = new TimerId(EngineName.QUOTAS, "quotas");

    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final long ROUND_NANOS = 250 * NANOS_PER_MILLI;
    private static final long URGENT_ROUND_NANOS = 15 * NANOS_PER_MILLI;

    /** Two questions to the coordinator, which asks others in between. */
    private static final long MAX_WAIT_NANOS = 200 * NANOS_PER_MILLI;

    private static final long MIN_RETRY_NANOS = 200 * NANOS_PER_MILLI;

    /** Spreads the questions of instances that start together. */
    private static final int MAX_ANNOUNCEMENTS = 16;

    private final SplittableRandom random;
    private final String self;
    private final double windowNanos;
    private final QuotaSettings settings;
    private final long incarnation;
    private final QuotaFleet fleet;
    private final Map<OrganisationId, Integer> limits = new HashMap<>();
    private final Map<OrganisationId, Integer> startLimits = new HashMap<>();
    private final Map<OrganisationId, OrganisationQuota> quotas = new TreeMap<>();

    private final QuotaQuestions questions = new QuotaQuestions();
    private final QuotaStart start;
    private boolean ownsPart;
    private boolean timerSet;
    private long timerNanos;
    private long admittedCount;
    private long refusedCount;

    /**
     * Creates the quotas of an instance without configuration.
     *
     * @param instance name of this instance
     * @param region its region
     * @param settings by how much quotas may be exceeded
     * @param seed distinguishes this process from earlier ones of the instance
     */
    public Quotas(InstanceId instance, RegionId region, QuotaSettings settings, long seed) {
        this.self = instance.value();
        this.settings = settings;
        this.windowNanos = settings.windowMillis() * NANOS_PER_MILLI;
        this.incarnation = seed;
        this.random = new SplittableRandom(seed);
        this.fleet = new QuotaFleet(instance, region);
        this.start = new QuotaStart(settings.windowMillis());
    }

    /** Applies a new configuration. */
    public synchronized void configure(ConfigSet config) {
        limits.clear();
        startLimits.clear();
        for (Organisation each : config.organisations().values()) {
            if (each.quota().isLimited()) {
                limits.put(each.id(), settings.dividedCalls(each.quota()));
                startLimits.put(each.id(), settings.startCalls(each.quota()));
            }
        }
        quotas.keySet().retainAll(limits.keySet());
        fleet.forgetParts();
        updateParts();
    }

    /**
     * Replaces the known instances.
     *
     * @param share their number, this one included, and their names
     * @param others those that can be asked
     * @param standing what is known about the entry of this instance
     * @param nowNanos the current time
     * @param outbox receives a timer if others have to count this instance
     */
    public synchronized void setMembers(
            InstanceShare share,
            List<SuspectPeer> others,
            QuotaStanding standing,
            long nowNanos,
            Outbox outbox) {
        start.learned(standing, nowNanos);
        if (fleet.setMembers(share, others)) {
            updateParts();
        }
        if (start.mustBeCounted() && !limits.isEmpty()) {
            setTimer(ROUND_NANOS, nowNanos, outbox);
        }
    }

    /**
     * Decides whether a call may be sent, and counts it if so.
     *
     * @param organisation the organisation of the call
     * @param again whether the call has waited for a loan
     * @param nowNanos the current time
     * @param outbox receives a timer if other instances have to be asked
     * @return the decision
     */
    public synchronized Admission admit(
            OrganisationId organisation, boolean again, long nowNanos, Outbox outbox) {
        OrganisationQuota quota = quotaOf(organisation, nowNanos);
        if (quota == null) {
            return Admission.Admitted.ADMITTED;
        }
        if (!again) {
            quota.attempted(nowNanos);
        }
        if (quota.admit(nowNanos)) {
            admittedCount++;
            setTimer(ROUND_NANOS, nowNanos, outbox);
            return Admission.Admitted.ADMITTED;
        }
        quota.setStarved(true);
        setTimer(0, nowNanos, outbox);
        if (!again && !quota.isExhausted(nowNanos) && fleet.links().iterator().hasNext()) {
            return new Admission.Waiting(nowNanos + MAX_WAIT_NANOS);
        }
        return refuse(quota, nowNanos);
    }

    /**
     * Takes back an admitted call that has provably not run.
     *
     * @param organisation the organisation of the call
     * @param admittedNanos when it was admitted
     * @param nowNanos the current time
     */
    public synchronized void returned(
            OrganisationId organisation, long admittedNanos, long nowNanos) {
        OrganisationQuota quota = quotas.get(organisation);
        if (quota != null) {
            quota.returned(admittedNanos, nowNanos);
        }
    }

    /**
     * Handles the timer of this object.
     *
     * @param nowNanos the current time
     * @param outbox receives questions to other instances
     */
    public synchronized void timerFired(long nowNanos, Outbox outbox) {
        long earlyNanos = timerNanos - nowNanos;
        if (timerSet && earlyNanos > 0) {
            outbox.add(new Action.SetTimer(TIMER, earlyNanos, true));
            return;
        }
        timerSet = false;
        updateOwnership(nowNanos);
        quotas.values().removeIf(quota -> quota.isIdle(nowNanos));
        boolean coordinates =
                quotas.values().stream().anyMatch(quota -> quota.isCoordinated(nowNanos));
        QuotaPlan plan = new QuotaPlan(fleet, coordinates, nowNanos);
        quotas.forEach((id, quota) -> plan.add(id, quota, limits.get(id)));
        boolean urgent = false;
        for (QuotaPlan.Target target : plan.targets().values()) {
            if (target.link.isDue(target.more, target.urgent, nowNanos)) {
                outbox.add(ask(target, nowNanos));
            } else {
                urgent |= target.urgent;
            }
        }
        if (start.mustBeCounted()) {
            announce(nowNanos, outbox);
        }
        if (!quotas.isEmpty() || start.mustBeCounted()) {
            setTimer(urgent ? URGENT_ROUND_NANOS : ROUND_NANOS, nowNanos, outbox);
        }
    }

    /**
     * Answers another instance that wants to borrow.
     *
     * @param ask the question
     * @param nowNanos a time after the question was received
     * @param outbox receives a timer if more has to be borrowed for it
     * @return what is lent
     */
    public synchronized QuotaAnswer answer(QuotaAsk ask, long nowNanos, Outbox outbox) {
        updateOwnership(nowNanos);
        OrganisationQuota.Borrower borrower =
                new OrganisationQuota.Borrower(ask.from(), ask.incarnation());
        if (fleet.announce(ask.from())) {
            updateParts();
        }
        if (!questions.isLatest(borrower, ask.number())) {
            // Overtaken by a later question, whose answer counts.
            return new QuotaAnswer(usesParts(nowNanos), List.of());
        }
        long leaseMillis = QuotaLease.millis(ask.kind());
        List<QuotaAnswer.Grant> grants = new ArrayList<>(ask.wants().size());
        boolean lacks = false;
        for (QuotaAsk.Want want : ask.wants()) {
            OrganisationQuota quota = quotaOf(want.organisation(), nowNanos);
            int granted = 0;
            if (quota != null) {
                long leaseNanos = leaseMillis * NANOS_PER_MILLI;
                granted = quota.lend(borrower, want, ask.kind(), leaseNanos, nowNanos);
                boolean missing = granted < want.wanted() && !quota.isExhausted(nowNanos);
                if (missing && ask.kind() != QuotaAsk.Kind.OWN_PART) {
                    quota.setStarved(true);
                    lacks = true;
                }
            }
            grants.add(new QuotaAnswer.Grant(want.organisation(), granted, leaseMillis));
        }
        setTimer(lacks ? 0 : ROUND_NANOS, nowNanos, outbox);
        return new QuotaAnswer(usesParts(nowNanos), grants);
    }

    /**
     * Handles the answer to a question.
     *
     * @param asked the question
     * @param answer the answer, or null if there was none
     * @param nowNanos the current time
     * @param outbox receives a timer
     */
    public synchronized void answered(
            Action.AskQuota asked, QuotaAnswer answer, long nowNanos, Outbox outbox) {
        QuotaLender link = fleet.link(asked.instance());
        if (link == null) {
            return;
        }
        if (answer == null) {
            link.failed(asked.ask().number(), nowNanos);
            setTimer(0, nowNanos, outbox);
            return;
        }
        if (!link.answered(asked.ask().number())) {
            return;
        }
        start.answered(answer.owning());
        Map<OrganisationId, Integer> wanted = new HashMap<>();
        asked.ask().wants().forEach(want -> wanted.put(want.organisation(), want.wanted()));
        boolean satisfied = true;
        for (QuotaAnswer.Grant grant : answer.grants()) {
            OrganisationQuota quota = quotas.get(grant.organisation());
            if (quota != null) {
                int asks = wanted.getOrDefault(grant.organisation(), 0);
                long untilNanos = link.sentNanos() + grant.leaseMillis() * NANOS_PER_MILLI;
                boolean more = grant.calls() > quota.borrowedFrom(asked.instance());
                quota.borrowed(asked.instance(), grant.calls(), asks, untilNanos, nowNanos);
                satisfied &= grant.calls() >= asks;
                if (asked.ask().kind() == QuotaAsk.Kind.MEMBER) {
                    quota.asked(more || grant.calls() >= asks, nowNanos);
                }
            }
        }
        if (satisfied) {
            link.satisfied();
        }
    }

    /** Ends all leases of this instance after it may have been frozen. */
    public synchronized void clockJumped(long nowNanos) {
        quotas.values().forEach(quota -> quota.endLeases(nowNanos));
    }

    /** Returns the counters. */
    public synchronized QuotaCounters counters(long nowNanos) {
        int lent = 0;
        int borrowed = 0;
        for (OrganisationQuota quota : quotas.values()) {
            lent += quota.lentCalls(nowNanos);
            borrowed += quota.borrowedCalls(nowNanos);
        }
        return new QuotaCounters(admittedCount, refusedCount, lent, borrowed);
    }

    /** Asks others to count this instance; each of them does so when it answers. */
    private void announce(long nowNanos, Outbox outbox) {
        int missing = 0;
        int asked = 0;
        for (QuotaLender link : fleet.links()) {
            if (!link.countsThisInstance()) {
                missing++;
                if (asked < MAX_ANNOUNCEMENTS && link.isDue(true, false, nowNanos)) {
                    asked++;
                    outbox.add(question(link, QuotaAsk.Kind.MEMBER, false, List.of(), nowNanos));
                }
            }
        }
        if (missing == 0 || start.isListed(nowNanos)) {
            if (missing > 0) {
                start.unanswered();
            }
            start.counted(nowNanos);
            updateOwnership(nowNanos);
        }
    }

    private Action question(
            QuotaLender link,
            QuotaAsk.Kind kind,
            boolean urgent,
            List<QuotaAsk.Want> wants,
            long nowNanos) {
        long number = link.ask(urgent, nowNanos);
        return new Action.AskQuota(
                link.peer().name(),
                link.peer().address(),
                new QuotaAsk(self, incarnation, number, kind, wants));
    }

    private Action ask(QuotaPlan.Target target, long nowNanos) {
        String lender = target.link.peer().name();
        List<QuotaAsk.Want> wants = new ArrayList<>();
        target.wanted.forEach(
                (id, wanted) -> {
                    OrganisationQuota quota = quotas.get(id);
                    quota.setStarved(false);
                    int kept = quota.giveBack(lender, wanted, nowNanos);
                    wants.add(new QuotaAsk.Want(id, kept, wanted));
                });
        return question(target.link, target.kind, target.urgent, wants, nowNanos);
    }

    /** Returns the quota of an organisation, or null if it has none. */
    private OrganisationQuota quotaOf(OrganisationId organisation, long nowNanos) {
        Integer limit = limits.get(organisation);
        if (limit == null) {
            return null;
        }
        updateOwnership(nowNanos);
        return quotas.computeIfAbsent(
                organisation,
                id -> {
                    OrganisationQuota quota = new OrganisationQuota((long) windowNanos);
                    quota.setOwnPart(partOf(id));
                    return quota;
                });
    }

    private void updateOwnership(long nowNanos) {
        if (!ownsPart && start.ownsPart(nowNanos)) {
            ownsPart = true;
            updateParts();
        }
    }

    private boolean usesParts(long nowNanos) {
        return ownsPart || quotas.values().stream().anyMatch(quota -> quota.hasBorrowed(nowNanos));
    }

    private int partOf(OrganisationId id) {
        return fleet.ownPart(id, (ownsPart ? limits : startLimits).get(id));
    }

    private void updateParts() {
        quotas.forEach((id, quota) -> quota.setOwnPart(partOf(id)));
    }

    private Admission.Refused refuse(OrganisationQuota quota, long nowNanos) {
        refusedCount++;
        long roomNanos = Math.max(MIN_RETRY_NANOS, quota.roomDelayNanos(nowNanos));
        // Spread, or all that were refused together would return together.
        long delayNanos = roomNanos / 2 + random.nextLong(roomNanos);
        return new Admission.Refused(Math.ceilDiv(delayNanos, NANOS_PER_MILLI));
    }

    private void setTimer(long delayNanos, long nowNanos, Outbox outbox) {
        if (!timerSet || timerNanos - nowNanos > delayNanos) {
            timerSet = true;
            timerNanos = nowNanos + delayNanos;
            outbox.add(new Action.SetTimer(TIMER, delayNanos, true));
        }
    }
}
