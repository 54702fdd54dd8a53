package org.snipeslip.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.id.RegionId;

/** Tests whom an instance asks, and when. */
class PeerFollowerTest {
    private static final long MILLI = 1_000_000;
    private static final StoreRevision REVISION = new StoreRevision(1, 5);
    private static final Map<DiscoveryKind, StoreRevision> KNOWN =
            Map.of(DiscoveryKind.CONFIG, REVISION);
    private static final DiscoveryResponse FRESH =
            new DiscoveryResponse.PeerChanges(
                    Map.of(
                            DiscoveryKind.CONFIG,
                            new DiscoveryResponse.Changes(List.of(), REVISION)),
                    0);

    private final PeerFollower follower =
            new PeerFollower(
                    new PeerSettings(
                            new RegionId("r"), "me:1", 500, 800, 1_000, 5_000, 200, 2_000, 2_400));

    /**
     * Guards against a timer that is due in the past, so that it fires without a pause, when an
     * instance that is no longer a candidate was avoided.
     */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void waitsForTheFirstAvoidedCandidate(boolean formerCandidateAvoided) {
        if (formerCandidateAvoided) {
            follower.setCandidates(List.of("x:1"), List.of(), 0);
            ask("x:1", FRESH, 0);
            follower.setCandidates(List.of("a:1"), List.of(), 0);
            ask("a:1", new DiscoveryResponse.Failed(false, "timeout"), 0);
            ask("x:1", new DiscoveryResponse.Failed(false, "timeout"), 0);
        } else {
            follower.setCandidates(List.of("a:1"), List.of(), 0);
            ask("a:1", new DiscoveryResponse.Failed(false, "timeout"), 0);
        }
        long laterNanos = 5_000 * MILLI;
        ask("a:1", new DiscoveryResponse.Failed(false, "timeout"), laterNanos);

        assertThat(follower.dueRequest(KNOWN, false, laterNanos + MILLI)).isNull();
        assertThat(follower.dueNanos(false)).isEqualTo(2 * laterNanos);
    }

    private void ask(String address, DiscoveryResponse response, long nowNanos) {
        DiscoveryRequest.PeerPoll poll =
                (DiscoveryRequest.PeerPoll) follower.dueRequest(KNOWN, false, nowNanos);
        assertThat(poll.address()).isEqualTo(address);
        follower.handleResponse(response, KNOWN, nowNanos);
    }
}
