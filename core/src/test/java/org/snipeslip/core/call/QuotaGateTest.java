package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.config.CallQuota;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.quota.QuotaSettings;
import org.snipeslip.core.quota.QuotaStanding;
import org.snipeslip.core.quota.Quotas;
import org.snipeslip.core.suspect.SuspectPeer;

/** What callers get whose organisation has a quota of one call in a window. */
class QuotaGateTest {
    private static final long SECOND = 1_000_000_000;
    private static final RegionId REGION = new RegionId("a");
    private static final OrganisationId LIMITED = new OrganisationId("small");

    private final CallEngine engine =
            new CallEngine(CallSettings.DEFAULT, REGION, new FailureDomainId("a1"), 1);
    private final Quotas quotas =
            new Quotas(new InstanceId("i"), REGION, new QuotaSettings(5_000, 0, 0), 1);
    private long nowNanos = SECOND;
    private int calls;

    @BeforeEach
    void configure() {
        ConfigSet plain =
                DeploymentFixtures.config(
                        1, DeploymentFixtures.servers(4, 8, DeploymentFixtures.DOMAINS), Set.of());
        Map<OrganisationId, Organisation> organisations = new HashMap<>(plain.organisations());
        Organisation before = organisations.get(LIMITED);
        organisations.put(
                LIMITED,
                new Organisation(
                        LIMITED,
                        before.homeRegions(),
                        before.weight(),
                        before.rank(),
                        before.keys(),
                        new CallQuota(0.2, 0)));
        ConfigSet config =
                new ConfigSet(
                        plain.generation(),
                        plain.homeRegions(),
                        plain.failureDomains(),
                        organisations,
                        plain.services(),
                        plain.routes());
        engine.configure(config, nowNanos, new Outbox());
        engine.quotaGate().setQuotas(quotas);
        quotas.configure(config);
        setPeers(List.of());
    }

    /** Guards against calls beyond the quota, and against limits for others. */
    @ParameterizedTest
    @CsvSource({"small, false", "big, true"})
    void callsBeyondTheQuotaAreRefused(String organisation, boolean unlimited) {
        assertThat(ActionsOf.sent(arrive(organisation, null))).isNotNull();
        nowNanos += SECOND;
        Refusal refusal = refusalOf(arrive(organisation, null));
        assertThat(refusal == null).isEqualTo(unlimited);
        if (refusal != null) {
            assertThat(refusal.reason()).isEqualTo(RefusalReason.QUOTA_EXCEEDED);
            assertThat(refusal.status()).isEqualTo(429);
            assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
            assertThat(refusal.retryAfterMillis()).isBetween(1L, 20_000L);
        }
    }

    /** Guards against counting a call twice that another instance has admitted and passed on. */
    @Test
    void passedCallsAreCountedWhereTheyArrived() {
        arrive("small", null);
        assertThat(refusalOf(arrive("small", new Handover(0, 1, false)))).isNull();
    }

    /** Guards against a call that stays held although others lend nothing, or its caller left. */
    @ParameterizedTest
    @CsvSource({"true, false", "false, true"})
    void heldCallsAreDecidedInTime(boolean callerLeaves, boolean refused) {
        setPeers(List.of(new SuspectPeer("other", REGION, "127.0.0.1:1")));
        arrive("small", null);
        assertThat(refusalOf(arrive("small", null))).isNull();
        assertThat(engine.openCalls()).isEqualTo(2);
        if (callerLeaves) {
            Event.CallerDisconnected left =
                    new Event.CallerDisconnected(new RequestId("c" + calls));
            engine.handle(left, nowNanos, new Outbox());
        }
        nowNanos += SECOND;
        Outbox outbox = new Outbox();
        engine.quotaGate().retry(nowNanos, outbox);
        assertThat(refusalOf(outbox.actions()) != null).isEqualTo(refused);
        assertThat(engine.openCalls()).isEqualTo(1);
    }

    private void setPeers(List<SuspectPeer> peers) {
        InstanceShare.Member own = new InstanceShare.Member("i", "a");
        InstanceShare share = new InstanceShare(1, own, List.of(), true);
        quotas.setMembers(share, peers, QuotaStanding.NEW, nowNanos, new Outbox());
        quotas.timerFired(nowNanos += SECOND, new Outbox());
    }

    private List<Action> arrive(String organisation, Handover handover) {
        CallHead head = DeploymentFixtures.get("/free", organisation);
        CallHead passed =
                new CallHead(
                        head.method(),
                        head.host(),
                        head.path(),
                        head.organisation(),
                        head.idempotencyKey(),
                        head.fingerprint(),
                        head.remainingNanos(),
                        head.depth(),
                        head.retriesLeft(),
                        head.bodyReplayable(),
                        head.identity(),
                        handover);
        Outbox outbox = new Outbox();
        Event.CallArrived event = new Event.CallArrived(new RequestId("c" + ++calls), passed);
        engine.handle(event, nowNanos, outbox);
        return outbox.actions();
    }

    private static Refusal refusalOf(List<Action> actions) {
        return actions.stream()
                .filter(Action.RefuseCaller.class::isInstance)
                .map(action -> ((Action.RefuseCaller) action).refusal())
                .findAny()
                .orElse(null);
    }
}
