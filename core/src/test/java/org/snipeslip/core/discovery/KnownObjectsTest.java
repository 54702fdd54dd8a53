package org.snipeslip.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.ServiceId;

/** Guards against wrong beliefs about servers when the store was restored from a copy. */
class KnownObjectsTest {
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final long EXPIRY_NANOS = 6 * SECOND_NANOS;
    private static final WatchSettings SETTINGS =
            new WatchSettings(
                    25_000, 2_500, 1_000, 300, 100, 300, 400, 100, 600, 500, 2_000, 6_000, 25_000);

    private final OutageDetector outage = new OutageDetector(SETTINGS);
    private final KnownObjects known =
            new KnownObjects(DiscoveryKind.SERVERS, outage, EXPIRY_NANOS);
    private long nowNanos = SECOND_NANOS;

    @BeforeEach
    void start() {
        list(at(1, 10), server("a", at(1, 3), false, 1), server("b", at(1, 4), false, 1));
    }

    /** The copy is from before the server began to drain. */
    @ParameterizedTest
    @CsvSource({"5, 6, false", "5, 5, true", "5, 4, true"})
    void keepsNewerContentOfAServer(long knownWrites, long listedWrites, boolean draining) {
        change(server("a", at(1, 12), true, knownWrites));
        restore();
        list(at(2, 9), server("a", at(2, 3), listedWrites == knownWrites, listedWrites));

        assertThat(isDraining("a")).isEqualTo(draining);
        change(server("a", at(2, 10), false, knownWrites + 1));
        assertThat(isDraining("a")).isFalse();
    }

    @Test
    void doesNotUseARemovedServerThatTheCopyLists() {
        change(DiscoveryObject.deleted("a", at(1, 12)));
        restore();
        list(at(2, 9), server("a", at(2, 3), false, 1), server("b", at(2, 4), false, 1));

        assertThat(known.asMap()).containsOnlyKeys("b");
        nowNanos += EXPIRY_NANOS;
        known.useWithheld(nowNanos - 1);
        assertThat(known.asMap()).containsOnlyKeys("b");
    }

    /** Entries of servers that are gone expire, so a remaining one belongs to a living server. */
    @Test
    void usesAServerAgainWhoseEntryDoesNotExpire() {
        change(DiscoveryObject.deleted("a", at(1, 12)));
        restore();
        list(at(2, 9), server("a", at(2, 3), false, 1));
        nowNanos += EXPIRY_NANOS;
        known.useWithheld(nowNanos);

        assertThat(known.asMap()).containsKey("a");
    }

    @Test
    void usesAServerThatRegistersAgainAtOnce() {
        change(DiscoveryObject.deleted("a", at(1, 12)));
        restore();
        list(at(2, 9), server("a", at(2, 3), false, 1));
        change(server("a", at(2, 10), false, 2));

        assertThat(known.asMap()).containsKey("a");
    }

    /** The server registered after the copy was made, and registers again soon. */
    @ParameterizedTest
    @CsvSource({"1, true", "4, false"})
    void keepsAServerThatTheCopyLacksForAWhile(int seconds, boolean kept) {
        restore();
        list(at(2, 9), server("b", at(2, 4), false, 1));
        nowNanos += seconds * SECOND_NANOS;
        known.applyDue(nowNanos);

        assertThat(known.asMap().containsKey("a")).isEqualTo(kept);
    }

    /** Guards against another instance that never hears of a removal which was reported twice. */
    @Test
    void tellsOfARemovalUpToItsOwnRevision() {
        DiscoveryObject removal = DiscoveryObject.deleted("a", at(1, 12));
        known.applyAll(List.of(removal), at(1, 12), nowNanos);
        known.applyAll(List.of(removal), at(1, 14), nowNanos);

        assertThat(known.changesSince(at(1, 11), at(1, 12)).objects())
                .extracting(DiscoveryObject::name)
                .containsExactly("a");
    }

    private boolean isDraining(String name) {
        return known.asMap().get(name).record()
                        instanceof DiscoveryRecord.Server(DiscoveredServer server)
                && server.draining();
    }

    private void restore() {
        outage.recordRestored(nowNanos);
    }

    private void change(DiscoveryObject object) {
        known.applyAll(List.of(object), object.revision(), nowNanos);
    }

    private void list(StoreRevision revision, DiscoveryObject... objects) {
        Map<String, DiscoveryObject> listed = new HashMap<>();
        for (DiscoveryObject object : objects) {
            listed.put(object.name(), object);
        }
        known.replaceAll(listed, revision, nowNanos);
    }

    private static StoreRevision at(long era, long number) {
        return new StoreRevision(era, number);
    }

    private static DiscoveryObject server(
            String name, StoreRevision revision, boolean draining, long writes) {
        return new DiscoveryObject(
                name,
                revision,
                false,
                new DiscoveryRecord.Server(
                        new DiscoveredServer(
                                new BackendServerId(name),
                                new ServiceId("s"),
                                "127.0.0.1",
                                80,
                                new FailureDomainId("z"),
                                2,
                                draining,
                                0,
                                1,
                                writes)));
    }
}
