package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.quota.QuotaStanding;
import org.snipeslip.core.suspect.SuspectPeer;

/**
 * Registers this instance in the store, reads the list of all instances and counts those that tell
 * of themselves in between. Entries of stopped instances remain in the store, so their number may
 * be too high, which errs on the safe side: shares of limits become smaller.
 */
final class InstanceRegistry {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /**
     * Times after the start at which the list is read again, because instances that start together
     * are missing from the first one.
     */
    private static final List<Long> EARLY_READS_MILLIS = List.of(1_200L, 4_000L);

    private static final long REGISTER_RETRY_NANOS = 1_000 * NANOS_PER_MILLI;

    /** Keeps hundreds of instances that register again below the write rate of the store. */
    private static final int RESTORED_SPREAD_NANOS = 300_000_000;

    /** Time after a restoration within which all instances that reach the store are registered. */
    private static final long REREGISTER_NANOS = 60_000 * NANOS_PER_MILLI;

    private static final Comparator<DiscoveryRecord.Instance> ORDER =
            Comparator.<DiscoveryRecord.Instance>comparingInt(
                            instance -> mix(instance.instance().value().hashCode()))
                    .thenComparing(instance -> instance.instance().value());

    /** Announced instances that are not listed; more of them are not counted. */
    private static final int MAX_ANNOUNCED = 2_048;

    private final DiscoveryEngineSettings settings;
    private final JoinAnnouncer announcer;
    private final Map<String, DiscoveryRecord.Instance> instances = new TreeMap<>();

    /** Instances that have told of themselves and are missing from the last list. */
    private final Map<String, DiscoveryRecord.Instance> announced = new TreeMap<>();

    private final List<DiscoveryObject> listed = new ArrayList<>();
    private boolean registered;
    private int earlyReads;
    private long startedNanos;
    private DiscoveryRequest pending;
    private long dueNanos = NEVER;
    private InstanceShare share;
    private boolean firstListRead;
    private boolean listedAtStart;

    /** Whether instances that started together with this one are in the list. */
    private boolean settled;

    private QuotaStanding standing = QuotaStanding.UNKNOWN;

    /** The latest era of the store; what was written in an earlier one may be lost. */
    private long era;

    /** Until then, instances that a list lacks are still counted. */
    private long keepMissingUntilNanos;

    InstanceRegistry(DiscoveryEngineSettings settings) {
        this.settings = settings;
        this.announcer = new JoinAnnouncer(self(), settings.watch().instancesRefreshMillis());
        this.share = new InstanceShare(settings.assumedInstances(), false);
    }

    InstanceShare share() {
        return share;
    }

    QuotaStanding standing() {
        return standing;
    }

    long dueNanos() {
        return Math.min(pending == null ? dueNanos : NEVER, announcer.dueNanos());
    }

    /**
     * Counts an instance that has told of itself.
     *
     * @return false if it cannot be counted
     */
    boolean announced(DiscoveryRecord.Instance instance) {
        String name = instance.instance().value();
        if (!instances.containsKey(name)) {
            if (announced.size() >= MAX_ANNOUNCED && !announced.containsKey(name)) {
                return false;
            }
            announced.put(name, instance);
            if (announcer.isCounted()) {
                // Otherwise there is no part that could become smaller.
                updateShare();
            }
        }
        return true;
    }

    /** Handles the end of an announcement of this instance. */
    void announcementEnded(Action.AnnounceInstance sent, boolean delivered, long nowNanos) {
        announcer.ended(sent, delivered, nowNanos);
    }

    /** Sends the announcements of this instance that are due. */
    void announce(long nowNanos, Outbox outbox) {
        if (announcer.sendDue(nowNanos, outbox)) {
            updateShare();
        }
    }

    /** Returns whether the last list has other instances. */
    boolean knowsOthers() {
        return instances.keySet().stream().anyMatch(n -> !n.equals(settings.instance().value()));
    }

    boolean awaits(DiscoveryRequest request) {
        return request.equals(pending);
    }

    /** Returns the first request: the list, which shows whether this instance is registered. */
    DiscoveryRequest start(long nowNanos) {
        startedNanos = nowNanos;
        return markPending(new DiscoveryRequest.ListPage(DiscoveryKind.INSTANCES, "", true));
    }

    /**
     * Registers this instance again after the store was restored from a copy, which may lack it.
     * Other instances do the same, so all that are known are counted meanwhile.
     */
    void storeRestored(long newEra, long nowNanos) {
        era = newEra;
        registered = false;
        keepMissingUntilNanos = nowNanos + REREGISTER_NANOS;
        // Spreads the writes of all instances.
        dueNanos =
                nowNanos
                        + Math.floorMod(
                                mix(settings.instance().value().hashCode()), RESTORED_SPREAD_NANOS);
    }

    /** Returns the next request and marks it as pending, or returns null if none is due. */
    DiscoveryRequest dueRequest(long nowNanos) {
        if (nowNanos < dueNanos || pending != null) {
            return null;
        }
        dueNanos = NEVER;
        // The list comes first, because it shows whether an earlier process has registered.
        if (firstListRead && !registered) {
            return markPending(
                    new DiscoveryRequest.Register(
                            settings.instance().value(), ownRegion(), ownAddress()));
        }
        String after = listed.isEmpty() ? "" : listed.getLast().name();
        return markPending(new DiscoveryRequest.ListPage(DiscoveryKind.INSTANCES, after, true));
    }

    /** Handles the response to the pending request; returns whether a list was read completely. */
    boolean handleResponse(DiscoveryResponse response, long nowNanos) {
        pending = null;
        switch (response) {
            case DiscoveryResponse.Registered confirmation -> {
                registered = confirmation.era() >= era;
                dueNanos = registered ? nextReadNanos(nowNanos) : nowNanos;
            }
            case DiscoveryResponse.Page page -> {
                listed.addAll(page.objects());
                registered |= page.revision().era() >= era && listsSelf(page);
                if (page.more() && !page.objects().isEmpty()) {
                    dueNanos = nowNanos;
                } else {
                    replaceInstances(nowNanos);
                    dueNanos = registered ? nextReadNanos(nowNanos) : nowNanos;
                    return true;
                }
            }
            default -> {
                listed.clear();
                dueNanos = registered ? nextReadNanos(nowNanos) : nowNanos + REGISTER_RETRY_NANOS;
            }
        }
        return false;
    }

    /**
     * Returns the addresses of the instances of the own region that come before this one in an
     * order that is the same for all instances and unrelated to their names.
     */
    List<String> peersBefore() {
        return inOrder(each -> isInOwnRegion(each) && ORDER.compare(each, self()) < 0);
    }

    /**
     * Returns the addresses of all other instances. Those of the own region and those of other
     * regions take turns, because a whole region may have lost the store.
     */
    List<String> allPeers() {
        Iterator<String> own = inOrder(this::isInOwnRegion).iterator();
        Iterator<String> foreign = inOrder(each -> !isInOwnRegion(each)).iterator();
        List<String> all = new ArrayList<>();
        while (own.hasNext() || foreign.hasNext()) {
            if (own.hasNext()) {
                all.add(own.next());
            }
            if (foreign.hasNext()) {
                all.add(foreign.next());
            }
        }
        return all;
    }

    private List<String> inOrder(Predicate<DiscoveryRecord.Instance> condition) {
        return instances.values().stream()
                .filter(each -> !each.peerAddress().isEmpty())
                .filter(each -> !each.instance().equals(settings.instance()))
                .filter(condition)
                .sorted(ORDER)
                .map(DiscoveryRecord.Instance::peerAddress)
                .toList();
    }

    private boolean isInOwnRegion(DiscoveryRecord.Instance instance) {
        return instance.region().equals(ownRegion());
    }

    private DiscoveryRecord.Instance self() {
        return new DiscoveryRecord.Instance(settings.instance(), ownRegion(), ownAddress());
    }

    /** Returns the other instances that have an address and a region. */
    List<SuspectPeer> others() {
        return instances.values().stream()
                .filter(each -> !each.peerAddress().isEmpty() && !each.region().isEmpty())
                .filter(each -> !each.instance().equals(settings.instance()))
                .map(
                        each ->
                                new SuspectPeer(
                                        each.instance().value(),
                                        new RegionId(each.region()),
                                        each.peerAddress()))
                .toList();
    }

    private void replaceInstances(long nowNanos) {
        if (nowNanos >= keepMissingUntilNanos) {
            instances.clear();
        }
        for (DiscoveryObject object : listed) {
            if (object.record() instanceof DiscoveryRecord.Instance instance) {
                instances.put(object.name(), instance);
            } else {
                // Counts for the shares of limits, but cannot be asked.
                instances.put(
                        object.name(),
                        new DiscoveryRecord.Instance(new InstanceId(object.name()), "", ""));
            }
        }
        announced.keySet().removeAll(instances.keySet());
        settled = earlyReads >= EARLY_READS_MILLIS.size();
        updateStanding();
        if (!announcer.hasBegun()) {
            beginAnnouncing(nowNanos);
        }
        listed.clear();
        updateShare();
    }

    private void beginAnnouncing(long nowNanos) {
        String self = settings.instance().value();
        for (DiscoveryObject own : listed) {
            if (own.name().equals(self)) {
                List<DiscoveryRecord.Instance> earlier =
                        listed.stream()
                                .filter(each -> own.revision().isAfter(each.revision()))
                                .map(each -> instances.get(each.name()))
                                .toList();
                announcer.begin(earlier, listedAtStart, nowNanos);
                return;
            }
        }
    }

    private void updateShare() {
        String self = settings.instance().value();
        Map<String, DiscoveryRecord.Instance> known = new TreeMap<>(announced);
        known.putAll(instances);
        List<InstanceShare.Member> others =
                known.values().stream()
                        .filter(instance -> !instance.instance().value().equals(self))
                        .map(InstanceRegistry::toMember)
                        .toList();
        int count = others.size() + 1;
        share =
                new InstanceShare(
                        settled ? count : Math.max(count, settings.assumedInstances()),
                        new InstanceShare.Member(self, ownRegion()),
                        others,
                        announcer.isCounted());
    }

    private void updateStanding() {
        if (!firstListRead) {
            firstListRead = true;
            listedAtStart = instances.containsKey(settings.instance().value());
        }
        if (settled && standing == QuotaStanding.UNKNOWN) {
            standing = listedAtStart ? QuotaStanding.RESTARTED : QuotaStanding.NEW;
        }
    }

    private boolean listsSelf(DiscoveryResponse.Page page) {
        String self = settings.instance().value();
        return page.objects().stream().anyMatch(object -> object.name().equals(self));
    }

    private String ownAddress() {
        return settings.peers() == null ? "" : settings.peers().address();
    }

    private String ownRegion() {
        return settings.peers() == null ? "" : settings.peers().region().value();
    }

    private static InstanceShare.Member toMember(DiscoveryRecord.Instance instance) {
        return new InstanceShare.Member(instance.instance().value(), instance.region());
    }

    private long nextReadNanos(long nowNanos) {
        while (earlyReads < EARLY_READS_MILLIS.size()) {
            long readNanos = startedNanos + EARLY_READS_MILLIS.get(earlyReads++) * NANOS_PER_MILLI;
            if (readNanos > nowNanos) {
                return readNanos;
            }
        }
        if (!announcer.hasBegun()) {
            // An outdated list has not shown this instance.
            return nowNanos + REGISTER_RETRY_NANOS;
        }
        return nowNanos + settings.watch().instancesRefreshMillis() * NANOS_PER_MILLI;
    }

    private DiscoveryRequest markPending(DiscoveryRequest request) {
        pending = request;
        return request;
    }

    /** Spreads the values of {@link String#hashCode}, which are close for similar names. */
    private static int mix(int hash) {
        int mixed = hash * 0x9E3779B9;
        return mixed ^ mixed >>> 15;
    }
}
