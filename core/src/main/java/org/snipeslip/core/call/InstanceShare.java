package org.snipeslip.core.call;

import java.util.List;

/**
 * The part of this instance in limits that apply to the sum over all instances.
 *
 * @param instances number of instances that share the limits, at least 1
 * @param own this instance
 * @param others the other instances, as far as they are known
 * @param counted whether the others leave room for this instance; until then it has no part
 */
public record InstanceShare(int instances, Member own, List<Member> others, boolean counted) {
    /** Calls to a near server are faster and not billed, so most are left to near instances. */
    private static final int NEAR_WEIGHT = 4;

    private static final long MIX_1 = 0xFF51AFD7ED558CCDL;
    private static final long MIX_2 = 0xC4CEB9FE1A85EC53L;

    /** Copies the list. */
    public InstanceShare {
        others = List.copyOf(others);
    }

    /**
     * Creates the share of an instance that knows no other one by name.
     *
     * @param instances number of instances that share the limits, at least 1
     * @param counted whether the others leave room for this instance
     */
    public InstanceShare(int instances, boolean counted) {
        this(instances, new Member("", ""), List.of(), counted);
    }

    /**
     * Returns the part of this instance in a quantity that can be divided exactly.
     *
     * @param quantity the sum over all instances
     * @return the part, at least 0
     */
    public double evenPart(double quantity) {
        return counted ? quantity / instances : 0;
    }

    /**
     * Returns the part of this instance in a number of calls that is divided equally.
     *
     * @param calls the sum over all instances
     * @param key what the calls belong to
     * @return the part, at least 0
     */
    public int ownPart(int calls, String key) {
        return counted ? equalPart(calls, key, own) : 0;
    }

    /**
     * Divides a number of calls to a backend server among the instances; those of its region get
     * several times as many as others. If there are too few calls, some instances get none; which
     * ones differs between servers (rendezvous hashing). The parts of all instances add up to the
     * number. An instance that some others do not count yet adds its own part and at most one more
     * call.
     *
     * @param calls the sum over all instances
     * @param server name of the server
     * @param region region of the server
     * @return the part of this instance, at least 0
     */
    public int of(int calls, String server, String region) {
        if (!counted) {
            return 0;
        }
        // Instances that are not known by name might be near and come before this one.
        int unknown = Math.max(0, instances - 1 - others.size());
        boolean isNear = own.isIn(region);
        int near = unknown + (isNear ? 1 : 0);
        int rank = unknown;
        for (Member other : others) {
            near += other.isIn(region) ? 1 : 0;
            rank += other.isIn(region) == isNear && other.comesBefore(own, server) ? 1 : 0;
        }
        int far = unknown + 1 + others.size() - near;
        long nearWeight = (long) NEAR_WEIGHT * near;
        int callsOfNear = (int) Math.ceilDiv(nearWeight * calls, nearWeight + far);
        return isNear ? part(callsOfNear, near, rank) : part(calls - callsOfNear, far, rank);
    }

    /**
     * Divides a number of calls equally among the instances; if there are too few calls, rendezvous
     * hashing selects those that get one. The parts of all instances add up to the number if all
     * know the same instances. No part grows if an instance is added.
     *
     * @param calls the sum over all instances
     * @param key what the calls belong to
     * @param member this instance or one of the others
     * @return its part, at least 0
     */
    public int equalPart(int calls, String key, Member member) {
        // Instances that are not known by name might come before this one.
        int rank = Math.max(0, instances - 1 - others.size());
        for (Member other : others) {
            rank += !other.equals(member) && other.comesBefore(member, key) ? 1 : 0;
        }
        rank += !own.equals(member) && own.comesBefore(member, key) ? 1 : 0;
        return part(calls, Math.max(instances, others.size() + 1), rank);
    }

    private static int part(int calls, int members, int rank) {
        return calls / members + (rank < calls % members ? 1 : 0);
    }

    /**
     * An instance.
     *
     * @param name its name
     * @param region its region, or empty if it is not known
     */
    public record Member(String name, String region) {
        private boolean isIn(String otherRegion) {
            return region.equals(otherRegion);
        }

        private boolean comesBefore(Member other, String server) {
            int order = Long.compare(hash(server), other.hash(server));
            return order < 0 || order == 0 && name.compareTo(other.name) < 0;
        }

        private long hash(String server) {
            long mixed = ((long) name.hashCode() << Integer.SIZE) ^ server.hashCode();
            mixed = (mixed ^ mixed >>> 33) * MIX_1;
            mixed = (mixed ^ mixed >>> 33) * MIX_2;
            return mixed ^ mixed >>> 33;
        }
    }
}
