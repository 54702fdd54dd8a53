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

/** Guards against old news that overrides newer news of a member. */
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
    void ordersByIncarnationThenStatus(
            long known, MemberStatus knownStatus, long next, MemberStatus status, boolean wins) {
        table.apply(update("a", 1, MemberStatus.ALIVE), 0);
        table.apply(update("a", known, knownStatus), 0);
        assertThat(table.apply(update("a", next, status), 0)).isEqualTo(wins);
        assertThat(table.get(new InstanceId("a")).status()).isEqualTo(wins ? status : knownStatus);
    }

    /** Guards against a table that grows without bound or forgets a live member first. */
    @Test
    void keepsItsBoundAndGivesUpTheDeadFirst() {
        for (String id : List.of("a", "b", "c")) {
            table.apply(update(id, 1, MemberStatus.ALIVE), 0);
        }
        assertThat(table.apply(update("d", 1, MemberStatus.ALIVE), 0)).isFalse();
        table.apply(update("b", 1, MemberStatus.DEAD), 0);
        assertThat(table.apply(update("d", 1, MemberStatus.ALIVE), 0)).isTrue();
        assertThat(table.get(new InstanceId("b"))).isNull();
    }

    /** Guards against a forgotten member that returns by old gossip of its death. */
    @Test
    void forgetsTheDeadForGood() {
        table.apply(update("a", 1, MemberStatus.ALIVE), 0);
        table.apply(update("a", 1, MemberStatus.DEAD), 0);
        table.forgetDead(99, 100);
        assertThat(table.size()).isEqualTo(1);
        table.forgetDead(100, 100);
        assertThat(table.apply(update("a", 1, MemberStatus.DEAD), 100)).isFalse();
        assertThat(table.size()).isZero();
    }

    /** Guards against the platform's list, which lags, overriding a newer incarnation. */
    @Test
    void marksListedLeavingUntilTheNextIncarnation() {
        table.apply(update("a", 1, MemberStatus.ALIVE), 0);
        InstanceId id = new InstanceId("a");
        table.listed(id, true);
        assertThat(table.asSeen(table.get(id)).status()).isEqualTo(MemberStatus.LEAVING);
        table.apply(update("a", 2, MemberStatus.ALIVE), 0);
        table.listed(id, true);
        assertThat(table.asSeen(table.get(id)).status()).isEqualTo(MemberStatus.ALIVE);
    }

    /** Guards against gossip that is sent for ever or leaves the newest change behind. */
    @Test
    void gossipsNewestFirstABoundedNumberOfTimes() {
        GossipQueue queue = new GossipQueue();
        queue.add(update("a", 1, MemberStatus.ALIVE));
        queue.add(update("b", 1, MemberStatus.ALIVE));
        queue.add(update("a", 2, MemberStatus.ALIVE));
        List<MemberUpdate> taken = new ArrayList<>();
        queue.take(taken, 1, 16);
        assertThat(taken).containsExactly(update("a", 2, MemberStatus.ALIVE));
        for (int i = 0; i < 2 * GossipQueue.transmissions(16); i++) {
            queue.take(taken, 1, 16);
        }
        assertThat(queue.size()).isZero();
        assertThat(taken).hasSize(2 * GossipQueue.transmissions(16));
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
