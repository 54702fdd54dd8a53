package org.snipeslip.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * The order of pings: each round visits every member once in a new random order, which bounds the
 * time until a failed member is pinged.
 */
final class ProbeOrder {
    private final RandomGenerator random;
    private final List<InstanceId> round = new ArrayList<>();
    private int position;

    ProbeOrder(RandomGenerator random) {
        this.random = random;
    }

    /** Puts a new member at a random place of the rest of the round. */
    void add(InstanceId id) {
        round.add(position + random.nextInt(round.size() - position + 1), id);
    }

    /** Returns the next member that is not dead, or null if there is none. */
    MemberUpdate next(MemberTable table) {
        for (int rounds = 0; rounds < 2; rounds++) {
            while (position < round.size()) {
                MemberUpdate member = table.get(round.get(position++));
                if (member != null && member.status() != MemberStatus.DEAD) {
                    return member;
                }
            }
            round.clear();
            position = 0;
            table.select(s -> s != MemberStatus.DEAD).forEach(m -> round.add(m.id()));
            shuffle(round, random);
        }
        return null;
    }

    static <T> void shuffle(List<T> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            T kept = list.get(i);
            list.set(i, list.get(other));
            list.set(other, kept);
        }
    }
}
