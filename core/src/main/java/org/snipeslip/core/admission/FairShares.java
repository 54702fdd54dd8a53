package org.snipeslip.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the room of one service between ranks and organisations while more calls arrive than its
 * servers can take, also where calls are sent or refused at once and none is queued. Answers one
 * greedy organisation, a crowd that repeats at once, and an urgent and a patient kind of call at
 * the same service.
 *
 * <p>Room is the {@link AdmittedPart} of what arrived in the last seconds. Higher ranks come first.
 * Within a rank each organisation gets what it asks for, up to a level that is the same for all by
 * weight (max-min fairness). Each keeps a minimum part of what is served overall. Without a
 * shortage every call is admitted.
 */
public final class FairShares {
    /** Accounts beyond this number push out the least recently used one. */
    private static final int MAX_ACCOUNTS = 512;

    /** Calls of a rank are admitted at least this often, relative to all calls. */
    private static final double RANK_MINIMUM = 0.25;

    /** Calls of an organisation are, if those of its rank are. */
    private static final double ORGANISATION_MINIMUM = 0.33;

    /** With fewer calls in the last seconds, shares cannot be told from chance. */
    private static final double MIN_OFFERED = 50;

    private static final long REFRESH_INTERVAL_NANOS = 50_000_000;

    private final Map<ShareKey, ShareAccount> accounts = new LinkedHashMap<>(16, 0.75f, true);
    private final ShareAccount all = new ShareAccount();
    private final AdmittedPart admittedPart = new AdmittedPart();
    private final Map<CallRank, RankShare> shares = new HashMap<>();
    private double organisationMinimum;
    private long refreshedNanos = Long.MIN_VALUE;

    /**
     * Records a call that arrived.
     *
     * @param weight weight of the organisation; values below 1 count as 1
     * @param nowNanos the current time in nanoseconds
     */
    public void offered(ShareKey key, int weight, long nowNanos) {
        ShareAccount account = accounts.get(key);
        if (account == null) {
            if (accounts.size() >= MAX_ACCOUNTS) {
                accounts.remove(accounts.keySet().iterator().next());
            }
            account = new ShareAccount();
            accounts.put(key, account);
        }
        account.offer(weight, nowNanos);
        all.offer(1, nowNanos);
    }

    /**
     * Records that an offered call was refused, because of its share or without room.
     *
     * @param nowNanos the current time in nanoseconds
     */
    public void refused(ShareKey key, long nowNanos) {
        ShareAccount account = accounts.get(key);
        if (account != null) {
            account.refuse(nowNanos);
            all.refuse(nowNanos);
        }
    }

    /**
     * Records the choice of a server for a call.
     *
     * @param soonEnough whether a server was found that is expected to answer soon enough
     * @param nowNanos the current time in nanoseconds
     */
    public void placed(boolean soonEnough, long nowNanos) {
        admittedPart.placed(soonEnough, nowNanos);
    }

    /**
     * Returns whether there is too little room, and enough calls were seen to share it.
     *
     * @param nowNanos the current time in nanoseconds
     * @return false if every call is admitted
     */
    public boolean isShort(long nowNanos) {
        return admittedPart(nowNanos) < 1 && all.offered(nowNanos) >= MIN_OFFERED;
    }

    /**
     * Returns the part of the offered calls for which there is room.
     *
     * @param nowNanos the current time in nanoseconds
     * @return from 0 to 1
     */
    public double admittedPart(long nowNanos) {
        return admittedPart.at(nowNanos);
    }

    /**
     * Decides about an offered call before a server is chosen for it.
     *
     * @param draw a random number from 0 to 1
     * @param nowNanos the current time in nanoseconds
     * @return the verdict
     */
    public ShareVerdict decide(ShareKey key, double draw, long nowNanos) {
        ShareAccount account = accounts.get(key);
        if (account == null || !isShort(nowNanos)) {
            return new ShareVerdict.Admit(ShareVerdict.Preference.BY_RANK);
        }
        refresh(nowNanos);
        RankShare share = shares.get(key.rank());
        if (share == null) {
            return new ShareVerdict.Admit(ShareVerdict.Preference.BY_RANK);
        }
        double fair = share.admitted(key, account, nowNanos);
        double minimum = Math.min(organisationMinimum, share.part);
        double admitted = Math.clamp(fair, minimum, 1);
        boolean overShare = admitted < share.part;
        double served = account.servedPart(nowNanos);
        double servedMinimum = ORGANISATION_MINIMUM * all.servedPart(nowNanos);
        boolean starved = served < servedMinimum;
        if (starved) {
            admitted = served <= 0 ? 1 : Math.min(1, admitted * servedMinimum / served);
        }
        if (draw >= admitted) {
            return new ShareVerdict.Refuse(overShare, admitted);
        }
        if (starved) {
            return new ShareVerdict.Admit(ShareVerdict.Preference.STARVED);
        }
        return new ShareVerdict.Admit(
                overShare ? ShareVerdict.Preference.OVER_SHARE : ShareVerdict.Preference.BY_RANK);
    }

    private void refresh(long nowNanos) {
        if (refreshedNanos != Long.MIN_VALUE
                && nowNanos - refreshedNanos < REFRESH_INTERVAL_NANOS) {
            return;
        }
        refreshedNanos = nowNanos;
        double part = admittedPart.at(nowNanos);
        organisationMinimum = ORGANISATION_MINIMUM * part;
        double rankMinimum = RANK_MINIMUM * part;
        double room = part * all.offered(nowNanos);
        TreeMap<CallRank, List<ShareAccount>> byRank = new TreeMap<>();
        Map<CallRank, Double> withoutOrganisation = new HashMap<>();
        accounts.forEach(
                (key, account) -> {
                    List<ShareAccount> sharing =
                            byRank.computeIfAbsent(key.rank(), rank -> new ArrayList<>());
                    if (key.organisation() == null) {
                        withoutOrganisation.put(key.rank(), account.offered(nowNanos));
                    } else {
                        sharing.add(account);
                    }
                });
        shares.clear();
        double reserved = rankMinimum * all.offered(nowNanos);
        for (Map.Entry<CallRank, List<ShareAccount>> entry : byRank.entrySet()) {
            double anonymous = withoutOrganisation.getOrDefault(entry.getKey(), 0.0);
            double offered = anonymous;
            for (ShareAccount account : entry.getValue()) {
                offered += account.offered(nowNanos);
            }
            double minimum = rankMinimum * offered;
            reserved = Math.max(0, reserved - minimum);
            double given = Math.clamp(room - reserved, minimum, Math.max(minimum, offered));
            room -= given;
            double rankPart = offered <= 0 ? 1 : given / offered;
            double level = level(entry.getValue(), given - rankPart * anonymous, nowNanos);
            double mean = (offered - anonymous) / Math.max(1, weights(entry.getValue()));
            shares.put(entry.getKey(), new RankShare(rankPart, level, mean));
        }
    }

    private static long weights(List<ShareAccount> sharing) {
        long weights = 0;
        for (ShareAccount account : sharing) {
            weights += account.weight();
        }
        return weights;
    }

    /** Returns the calls per weight up to which everyone gets what it asks for. */
    private static double level(List<ShareAccount> sharing, double given, long nowNanos) {
        sharing.sort(
                Comparator.comparingDouble(
                        account -> account.offered(nowNanos) / account.weight()));
        double left = given;
        long weights = weights(sharing);
        for (ShareAccount account : sharing) {
            double level = left / weights;
            double asked = account.offered(nowNanos);
            if (asked > level * account.weight()) {
                return level;
            }
            left -= asked;
            weights -= account.weight();
        }
        return Double.MAX_VALUE;
    }

    /**
     * What the calls of a rank get.
     *
     * @param part the part of them that is admitted
     * @param level calls per weight up to which an organisation gets what it asks for
     * @param mean calls per weight that its organisations ask for; those that ask for no more are
     *     never refused for their share, because room is only estimated
     */
    private record RankShare(double part, double level, double mean) {
        double admitted(ShareKey key, ShareAccount account, long nowNanos) {
            if (key.organisation() == null) {
                return part;
            }
            double asked = account.offered(nowNanos) / account.weight();
            return asked <= mean ? 1 : level / asked;
        }
    }
}
