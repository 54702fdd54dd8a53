package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against parts of a shared limit that add up to more than the limit. */
public class InstanceShareTest {
    @Property
    void partsAddUpToTheNumberOfCalls(
            @ForAll @IntRange(min = 0, max = 400) int calls,
            @ForAll @IntRange(min = 1, max = 160) int instances,
            @ForAll @IntRange(min = 1, max = 4) int regions,
            @ForAll int server) {
        List<InstanceShare.Member> members = members(instances, regions);
        int sum = 0;
        for (int i = 0; i < instances; i++) {
            sum += part(calls, members, i, instances, server);
        }
        assertThat(sum).isEqualTo(calls);
    }

    /** Some instances have not read the names of the last ones yet. */
    @Property
    void outdatedListsAddLittleToTheSum(
            @ForAll @IntRange(min = 0, max = 40) int calls,
            @ForAll @IntRange(min = 2, max = 60) int instances,
            @ForAll @IntRange(min = 1, max = 5) int unread,
            @ForAll long outdated,
            @ForAll int server) {
        int known = Math.max(1, instances - unread);
        List<InstanceShare.Member> members = members(instances, 3);
        int sum = 0;
        int allowedSum = calls;
        for (int i = 0; i < instances; i++) {
            boolean old = i < known && (outdated >> i & 1) == 1;
            sum +=
                    old
                            ? part(calls, members.subList(0, known), i, known, server)
                            : part(calls, members, i, instances, server);
            allowedSum += i < known ? 0 : part(calls, members, i, instances, server) + 1;
        }
        assertThat(sum).isLessThanOrEqualTo(allowedSum);
    }

    /** An instance that knows too few names assumes that the others come first. */
    @Property
    void unknownInstancesTakeNoCallsFromTheSum(
            @ForAll @IntRange(min = 0, max = 100) int calls,
            @ForAll @IntRange(min = 1, max = 40) int instances,
            @ForAll @IntRange(min = 1, max = 40) int known,
            @ForAll int server) {
        List<InstanceShare.Member> members = members(instances, 3);
        int sum = 0;
        for (int i = 0; i < instances; i++) {
            int from = Math.max(0, Math.min(i, instances - known));
            List<InstanceShare.Member> some =
                    members.subList(from, Math.min(instances, from + known));
            sum += part(calls, some, i - from, instances, server);
        }
        assertThat(sum).isLessThanOrEqualTo(calls);
    }

    @Property
    void equalPartsAddUpToTheNumberOfCalls(
            @ForAll @IntRange(min = 1, max = 60) int calls,
            @ForAll @IntRange(min = 1, max = 120) int instances,
            @ForAll int server) {
        int sum = 0;
        for (InstanceShare share : shares(instances, 3)) {
            sum += share.ownPart(calls, "s" + server);
        }
        assertThat(sum).isEqualTo(calls);
    }

    /** Instances learn of a new one at different times, and none may use more than before. */
    @Property
    void equalPartsNeverGrowWhenAnInstanceJoins(
            @ForAll @IntRange(min = 0, max = 60) int calls,
            @ForAll @IntRange(min = 1, max = 120) int instances,
            @ForAll int server) {
        List<InstanceShare> before = shares(instances, 3);
        List<InstanceShare> after = shares(instances + 1, 3);
        for (int i = 0; i < instances; i++) {
            assertThat(after.get(i).ownPart(calls, "s" + server))
                    .isLessThanOrEqualTo(before.get(i).ownPart(calls, "s" + server));
        }
    }

    @Property
    void instanceThatIsNotCountedHasNoPart(
            @ForAll @IntRange(min = 0, max = 60) int calls,
            @ForAll @IntRange(min = 1, max = 24) int instances) {
        InstanceShare.Member own = new InstanceShare.Member("entry-0", "r0");
        InstanceShare share = new InstanceShare(instances, own, List.of(), false);
        assertThat(share.ownPart(calls, "s")).isZero();
        assertThat(share.of(calls, "s", "r0")).isZero();
        assertThat(share.evenPart(calls)).isZero();
    }

    /** Returns the shares of instances that all know one another. */
    public static List<InstanceShare> shares(int instances, int regions) {
        List<InstanceShare.Member> members = members(instances, regions);
        List<InstanceShare> shares = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            List<InstanceShare.Member> others = new ArrayList<>(members);
            InstanceShare.Member own = others.remove(i);
            shares.add(new InstanceShare(instances, own, others, true));
        }
        return shares;
    }

    private static int part(
            int calls, List<InstanceShare.Member> members, int index, int instances, int server) {
        List<InstanceShare.Member> others = new ArrayList<>(members);
        InstanceShare.Member own = others.remove(index);
        return new InstanceShare(instances, own, others, true).of(calls, "s" + server, "r0");
    }

    private static List<InstanceShare.Member> members(int instances, int regions) {
        List<InstanceShare.Member> members = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            members.add(new InstanceShare.Member("entry-" + i, "r" + i % regions));
        }
        return members;
    }
}
