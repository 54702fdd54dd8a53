package org.snipeslip.server.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.store.StoredObject;
import org.snipeslip.server.config.FakeObjectStore.Fault;

/** Guards against lost, partial and misreported publications. */
class PublisherTest {
    private static final FailureDomainId DOMAIN = new FailureDomainId("fleuve-1");

    private final FakeObjectStore store = new FakeObjectStore();
    private final AtomicInteger writerCount = new AtomicInteger();

    private Publisher publisher() {
        return new Publisher(store, () -> "writer-" + writerCount.incrementAndGet(), tries -> {});
    }

    private PublishedReader reader() {
        return new PublishedReader(store, tries -> {});
    }

    /** Returns a set with one organisation for each given weight. */
    private static List<ConfigObject> set(int... weights) {
        List<ConfigObject> objects = new ArrayList<>();
        objects.add(new HomeRegion(new RegionId("fleuve"), true));
        objects.add(new FailureDomain(DOMAIN, new RegionId("fleuve"), true));
        for (int weight : weights) {
            objects.add(new Organisation(new OrganisationId("o" + weight), Set.of(), weight));
        }
        return objects;
    }

    private PublishResult publish(List<ConfigObject> objects) {
        return publisher().publish(reader().read().get(), objects);
    }

    @Test
    void publishesAndReadsBack() {
        PublishResult result = publish(set(1, 2));
        assertThat(result).isInstanceOf(PublishResult.Published.class);
        PublishedConfig published = reader().read().get();
        assertThat(published.head().generation()).isEqualTo(new Generation(1));
        assertThat(published.objects()).containsExactlyElementsOf(set(1, 2));
        assertThat(publish(set(1, 2))).isEqualTo(new PublishResult.Unchanged(new Generation(1)));
    }

    /** Guards against a lost answer reported as a failure, and against a double publication. */
    @ParameterizedTest
    @CsvSource({"LOSE_ANSWER", "LOSE_REQUEST", "DOWN"})
    void publishesDespiteFaultOfAnySingleCall(Fault fault) {
        for (int call = 2; call < 8; call++) {
            FakeObjectStore fresh = new FakeObjectStore();
            fresh.faultByCall.put(call, fault);
            PublishResult result =
                    new Publisher(fresh, () -> "w", tries -> {})
                            .publish(PublishedConfig.NONE, set(1, 2));
            assertThat(result).as("call %d", call).isInstanceOf(PublishResult.Published.class);
            assertThat(fresh.head().generation()).isEqualTo(new Generation(1));
            assertThat(fresh.missingParts()).isEmpty();
        }
    }

    /** Guards against a conflict that overwrites the other publication or hides the differences. */
    @Test
    void reportsWinnerAndDifferences() {
        publish(set(1));
        PublishedConfig base = reader().read().get();
        publish(set(1, 2));
        PublishResult result = publisher().publish(base, set(1, 3));
        assertThat(result).isInstanceOf(PublishResult.Conflicted.class);
        PublishResult.Conflicted conflict = (PublishResult.Conflicted) result;
        assertThat(conflict.winner()).isEqualTo(new Generation(2));
        assertThat(conflict.writer()).isEqualTo("writer-2");
        assertThat(conflict.differing().orElseThrow())
                .extracting(ConfigChange::object, ConfigChange::type)
                .containsExactly(
                        tuple("Organisation o2", ConfigChange.Type.REMOVED),
                        tuple("Organisation o3", ConfigChange.Type.ADDED));
        assertThat(reader().read().get().objects()).containsExactlyElementsOf(set(1, 2));
    }

    /**
     * Guards against a definite result when the answer is lost and a later head replaced this one.
     */
    @Test
    void reportsSupersededWhenLaterGenerationReplacedTheHead() {
        publish(set(1));
        PublishedConfig base = reader().read().get();
        // Calls of the publication: create part, list parts, write head, then read the head.
        store.faultByCall.put(store.calls + 2, Fault.LOSE_ANSWER);
        store.actionByCall.put(store.calls + 3, () -> publish(set(1, 2, 3)));
        PublishResult result = publisher().publish(base, set(1, 2));
        assertThat(result)
                .isEqualTo(
                        new PublishResult.Superseded(
                                new Generation(2), new Generation(3), "writer-3"));
    }

    /** Guards against a reported failure after a write that may have taken effect. */
    @Test
    void reportsUnresolvedWhenObjectApiFailsAfterTheWrite() {
        publish(set(1));
        PublishedConfig base = reader().read().get();
        store.faultByCall.put(store.calls + 2, Fault.LOSE_ANSWER);
        store.actionByCall.put(store.calls + 3, () -> store.down = true);
        assertThat(publisher().publish(base, set(1, 2)))
                .isEqualTo(new PublishResult.Unresolved(new Generation(2), "writer-2"));
    }

    /** Guards against results that contradict the head, for any sequence of call faults. */
    @Property(seed = "20261205")
    void resultAgreesWithHead(@ForAll @Size(max = 30) List<Fault> faults) {
        FakeObjectStore faulty = new FakeObjectStore();
        for (int i = 0; i < faults.size(); i++) {
            faulty.faultByCall.put(i, faults.get(i));
        }
        PublishResult result =
                new Publisher(faulty, () -> "w", tries -> {})
                        .publish(PublishedConfig.NONE, set(1, 2));
        boolean inForce = faulty.head().writer().equals("w");
        assertThat(faulty.missingParts()).isEmpty();
        switch (result) {
            case PublishResult.Published published -> assertThat(inForce).isTrue();
            case PublishResult.Failed failed -> assertThat(inForce).isFalse();
            case PublishResult.Unresolved unresolved -> {
                // The publication may or may not be in force.
            }
            default ->
                    throw new AssertionError(
                            "unexpected result without a concurrent publication: " + result);
        }
    }

    /** Guards against deletion of parts that a concurrent publication refers to. */
    @Property(seed = "20261206")
    void headNamesExistingPartsWhenPublicationsInterleave(
            @ForAll @IntRange(max = 30) int first, @ForAll @IntRange(max = 30) int second) {
        FakeObjectStore shared = new FakeObjectStore();
        AtomicInteger ids = new AtomicInteger();
        Publisher publisher = new Publisher(shared, () -> "w" + ids.incrementAndGet(), tries -> {});
        PublishedReader reader = new PublishedReader(shared, tries -> {});
        List<List<ConfigObject>> sets = List.of(set(1, 2), set(3), set(4), set(1, 2));
        sets.forEach(objects -> publisher.publish(reader.read().get(), objects));
        int start = shared.calls;
        Runnable other = () -> publisher.publish(reader.read().get(), set(3, 5));
        shared.actionByCall.put(start + first, other);
        shared.actionByCall.put(start + first + second, other);
        PublishResult result = publisher.publish(reader.read().get(), set(3, 4));
        assertThat(shared.missingParts()).isEmpty();
        assertThat(result)
                .isInstanceOfAny(PublishResult.Published.class, PublishResult.Conflicted.class);
    }

    /**
     * Guards against a part deleted between the check for its existence and the write of the head.
     */
    @Test
    void rewrittenPartSurvivesPendingDeletion() {
        publish(set(1));
        publish(set(2));
        PublishedConfig base = reader().read().get();
        // The publication lists the parts of generation 1 for deletion and writes generation 3.
        // Before its first deletion, another publication refers to the parts of generation 1 again.
        int firstDeletion = store.calls + 3;
        PublishResult[] concurrent = new PublishResult[1];
        store.actionByCall.put(firstDeletion, () -> concurrent[0] = publish(set(1)));
        PublishResult interrupted = publisher().publish(base, set(3));
        assertThat(interrupted).isInstanceOf(PublishResult.Published.class);
        assertThat(concurrent[0]).isInstanceOf(PublishResult.Published.class);
        assertThat(store.head().generation()).isEqualTo(new Generation(4));
        assertThat(store.missingParts()).isEmpty();
    }

    /** Guards against unreferenced parts that accumulate with each publication. */
    @Test
    void keepsOnlyPartsOfThisAndThePreviousGeneration() {
        for (int weight = 1; weight <= 10; weight++) {
            publish(set(weight));
        }
        assertThat(store.parts()).isEqualTo(2 + 2);
    }

    /** Guards against a domain switch that is lost or reverts the change of another operator. */
    @Test
    void failureDomainSwitchRetriesAfterConflict() {
        publish(set(1));
        store.actionByCall.put(store.calls + 4, () -> publish(set(1, 2)));
        FailureDomainSwitch domainSwitch = new FailureDomainSwitch(reader(), publisher());
        assertThat(domainSwitch.setInService(DOMAIN, false).orElseThrow())
                .isInstanceOf(PublishResult.Published.class);
        PublishedConfig inForce = reader().read().get();
        assertThat(inForce.head().generation()).isEqualTo(new Generation(3));
        assertThat(ConfigDiff.between(set(1, 2), inForce.objects()))
                .isEqualTo(
                        List.of(
                                new ConfigChange(
                                        "FailureDomain fleuve-1",
                                        ConfigChange.Type.CHANGED,
                                        List.of("inService"))));
        assertThat(domainSwitch.setInService(new FailureDomainId("none"), false)).isEmpty();
    }

    /** Guards against an unreadable configuration that is read as an empty one. */
    @Test
    void reportsDamagedAndMissingParts() {
        publish(set(1));
        String key = ConfigHead.PART_PREFIX + store.head().digests().getFirst();
        Map<String, StoredObject> objects = store.objects;
        objects.put(key, new StoredObject(key, "{", 99));
        assertThat(reader().read().getLeft()).isInstanceOf(StoreProblem.Damaged.class);
        objects.remove(key);
        assertThat(reader().read().getLeft()).isInstanceOf(StoreProblem.MissingPart.class);
        store.down = true;
        assertThat(reader().read().getLeft()).isInstanceOf(StoreProblem.Unavailable.class);
    }

    /** Guards against a damaged part that blocks all later publications. */
    @Test
    void repairsDamagedAndMissingParts() {
        publish(set(1, 2));
        List<String> digests = store.head().digests();
        String damaged = ConfigHead.PART_PREFIX + digests.getFirst();
        store.objects.put(damaged, new StoredObject(damaged, "{", 99));
        store.objects.remove(ConfigHead.PART_PREFIX + digests.getLast());
        PublishedConfig base = reader().readHead().get().withoutParts();
        assertThat(publisher().publish(base, set(1, 2)))
                .isInstanceOf(PublishResult.Published.class);
        PublishedConfig published = reader().read().get();
        assertThat(published.head().generation()).isEqualTo(new Generation(2));
        assertThat(published.objects()).containsExactlyElementsOf(set(1, 2));
    }
}
