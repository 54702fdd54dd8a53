package org.snipeslip.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.peer.PeerAddress;

/** Guards against outdated updates that override newer ones, and against unbounded growth. */
class MemberTableTest {
    private final MemberTable table = new MemberTable(3);

    @ParameterizedTest
    @CsvSource({
        "1, ALIVE, 1, SUSPECT, true",
        "1, SUSPECT, 1, ALIVE, false",
        "1, LEAVING, 1, ALIVE, false",
        "1, DEAD, 1, SUSPECT, false",
        "1, DEAD, 2, ALIVE, true",
        "2, ALIVE, 1, DEAD, false",
        "2, ALIVE, 2, ALIVE, false",
    })
    void overridesByIncarnationThenStatus(
            long knownIncarnation,
            MemberStatus knownStatus,
            long incarnation,
            MemberStatus status,
            boolean overrides) {
        table.apply(update("a", 1, MemberStatus.ALIVE), 0);
        table.apply(update("a", knownIncarnation, knownStatus), 0);
        assertThat(table.apply(update("a", incarnation, status), 0)).isEqualTo(overrides);
        assertThat(table.get(new InstanceId("a")).status())
                .isEqualTo(overrides ? status : knownStatus);
    }

    /** Guards against a table that exceeds its limit, or removes a live member to make room. */
    @Test
    void evictsOnlyDeadMembersWhenFull() {
        for (String id : List.of("a", "b", "c")) {
            table.apply(update(id, 1, MemberStatus.ALIVE), 0);
        }
        assertThat(table.apply(update("d", 1, MemberStatus.ALIVE), 0)).isFalse();
        table.apply(update("b", 1, MemberStatus.DEAD), 0);
        assertThat(table.apply(update("d", 1, MemberStatus.ALIVE), 0)).isTrue();
        assertThat(table.get(new InstanceId("b"))).isNull();
    }

    /** Guards against a removed dead member that old gossip about its death adds again. */
    @Test
    void ignoresOldGossipAboutForgottenDeadMember() {
        table.apply(update("a", 1, MemberStatus.ALIVE), 0);
        table.apply(update("a", 1, MemberStatus.DEAD), 0);
        table.forgetDead(99, 100);
        assertThat(table.size()).isEqualTo(1);
        table.forgetDead(100, 100);
        assertThat(table.apply(update("a", 1, MemberStatus.DEAD), 100)).isFalse();
        assertThat(table.size()).isZero();
    }

    /** Guards against the platform's instance list, which lags, overriding a newer incarnation. */
    @Test
    void appliesListedLeavingUntilNextIncarnation() {
        table.apply(update("a", 1, MemberStatus.ALIVE), 0);
        InstanceId id = new InstanceId("a");
        table.setListedLeaving(id, true);
        assertThat(table.withListedStatus(table.get(id)).status()).isEqualTo(MemberStatus.LEAVING);
        table.apply(update("a", 2, MemberStatus.ALIVE), 0);
        table.setListedLeaving(id, true);
        assertThat(table.withListedStatus(table.get(id)).status()).isEqualTo(MemberStatus.ALIVE);
    }

    /** Guards against updates that are gossiped forever, and against delay of the newest one. */
    @Test
    void sendsNewestUpdatesFirstAndEachAtMostLimitTimes() {
        GossipQueue queue = new GossipQueue();
        queue.add(update("a", 1, MemberStatus.ALIVE));
        queue.add(update("b", 1, MemberStatus.ALIVE));
        queue.add(update("a", 2, MemberStatus.ALIVE));
        List<MemberUpdate> sent = new ArrayList<>();
        queue.appendNewest(sent, 1, 16);
        assertThat(sent).containsExactly(update("a", 2, MemberStatus.ALIVE));
        for (int i = 0; i < 2 * GossipQueue.maxTransmissions(16); i++) {
            queue.appendNewest(sent, 1, 16);
        }
        assertThat(queue.size()).isZero();
        assertThat(sent).hasSize(2 * GossipQueue.maxTransmissions(16));
    }

    private static MemberUpdate update(String id, long incarnation, MemberStatus status) {
        return new MemberUpdate(
                new InstanceId(id),
                new PeerAddress("h", 1),
                new FailureDomainId("f"),
                new RegionId("r"),
                incarnation,
                status);
    }
}
