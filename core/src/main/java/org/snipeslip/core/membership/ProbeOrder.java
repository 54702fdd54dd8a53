package org.snipeslip.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * The order in which members are pinged. Each round visits every member once in a new random order,
 * which bounds the time until a failed member is pinged.
 */
final class ProbeOrder {
    private final RandomGenerator random;
    private final List<InstanceId> currentRound = new ArrayList<>();
    private int position;

    ProbeOrder(RandomGenerator random) {
        this.random = random;
    }

    /** Inserts a new member at a random position among those not yet visited in this round. */
    void add(InstanceId id) {
        currentRound.add(position + random.nextInt(currentRound.size() - position + 1), id);
    }

    /** Returns the next member that is not dead, or null if there is none. */
    MemberUpdate next(MemberTable table) {
        for (int pass = 0; pass < 2; pass++) {
            while (position < currentRound.size()) {
                MemberUpdate member = table.get(currentRound.get(position++));
                if (member != null && member.status() != MemberStatus.DEAD) {
                    return member;
                }
            }
            currentRound.clear();
            position = 0;
            table.select(s -> s != MemberStatus.DEAD).forEach(m -> currentRound.add(m.id()));
            shuffle(currentRound, random);
        }
        return null;
    }

    static <T> void shuffle(List<T> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            T swapped = list.get(i);
            list.set(i, list.get(other));
            list.set(other, swapped);
        }
    }
}
