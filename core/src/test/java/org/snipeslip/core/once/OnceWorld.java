package org.snipeslip.core.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.OutboxReader;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.routing.HomeRegions;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/**
 * Several engines, their messages, timers and object API calls in virtual time. Region "near" hosts
 * the object API. The same seed gives the same run.
 */
final class OnceWorld {
    static final long MILLI = 1_000_000;
    static final RegionId NEAR = new RegionId("near");
    static final RegionId FAR = new RegionId("far");

    final SplittableRandom random;
    final OnceSettings settings;
    final FakeObjectApi api = new FakeObjectApi();
    final OnceOracle oracle = new OnceOracle();
    final Map<InstanceId, OnceNode> nodes = new LinkedHashMap<>();
    final Map<RequestId, ClaimDecision> decisions = new HashMap<>();
    final List<ClaimMessage> sent = new ArrayList<>();
    Faults apiFaults = Faults.NONE;
    Faults netFaults = Faults.NONE;
    boolean holdWork;
    long now;

    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final Map<RequestId, Submitted> submissions = new HashMap<>();
    private final Map<String, String> digestByAsk = new HashMap<>();
    private final Set<String> falseReplies = new HashSet<>();
    private String replyInHand;
    private long lastDue;
    private int lastRequest;

    OnceWorld(long seed, OnceSettings settings) {
        this.random = new SplittableRandom(seed);
        this.settings = settings;
    }

    OnceNode add(String name, RegionId region) {
        OnceNode node =
                new OnceNode(
                        name,
                        region.value(),
                        random.nextLong(-100_000, 100_000) * MILLI,
                        random.nextDouble(0.99, 1.01));
        nodes.put(node.id, node);
        start(node);
        return node;
    }

    void start(OnceNode node) {
        node.start(settings);
        Map<RegionId, HomeRegion> regions =
                Map.of(NEAR, new HomeRegion(NEAR, true), FAR, new HomeRegion(FAR, false));
        ConfigSet config =
                new ConfigSet(new Generation(1), regions, Map.of(), Map.of(), Map.of(), Map.of());
        act(node, (time, outbox) -> node.engine.configure(config, time, outbox));
    }

    void lose(OnceNode node) {
        node.up = false;
        node.held.clear();
    }

    /** Gives every node a view of all nodes that are up. */
    void shareViews() {
        nodes.values().forEach(node -> showView(node, null));
    }

    void showView(OnceNode node, OnceNode missing) {
        if (now < node.viewFrozenUntilNanos) {
            return;
        }
        List<MemberUpdate> members =
                nodes.values().stream()
                        .filter(other -> other.up && (other != missing || other == node))
                        .map(OnceNode::member)
                        .toList();
        act(node, (time, o) -> node.engine.membersChanged(new MemberView(members), time, o));
    }

    RequestId submit(OnceNode node, String key, HomeRegions homeRegions) {
        lastRequest++;
        RequestId id = new RequestId("r" + lastRequest);
        act(
                node,
                (time, outbox) -> {
                    ClaimRequest claim =
                            new ClaimRequest(
                                    id,
                                    new OrganisationId("o"),
                                    new RouteId("route"),
                                    new IdempotencyKey(key),
                                    "print-" + key,
                                    homeRegions,
                                    time + 3_000 * MILLI);
                    String digest = KeyDigest.of(claim);
                    submissions.put(id, new Submitted(key, digest));
                    if (!GroupName.of(homeRegions, Set.of(NEAR)).isDurable()) {
                        oracle.boundDigests.add(digest);
                    }
                    node.engine.claim(claim, time, outbox);
                });
        return id;
    }

    /** Reports the end of a granted call whose work is held. */
    void end(OnceNode node, RequestId request, ClaimMessage.End end) {
        RecordableAnswer answer =
                end == ClaimMessage.End.ANSWERED
                        ? new RecordableAnswer(200, "text/plain", request.value(), true)
                        : RecordableAnswer.NONE;
        OnceOracle.Grant grant =
                oracle.grantsByDigest.get(submissions.get(request).digest).getLast();
        grant.end = end;
        grant.answer = answer;
        act(node, (time, o) -> node.engine.end(new ClaimEnd(request, end, answer), time, o));
    }

    void stop(OnceNode node) {
        node.leaving = true;
        act(node, (time, outbox) -> node.engine.startHandover(time, outbox));
    }

    void runFor(long millis) {
        long until = now + millis * MILLI;
        while (!queue.isEmpty() && queue.peek().atNanos <= until) {
            Due due = queue.poll();
            now = due.atNanos;
            due.task.run();
        }
        now = until;
    }

    void after(long delayNanos, Runnable task) {
        lastDue++;
        queue.add(new Due(now + Math.max(0, delayNanos), lastDue, task));
    }

    void resume(OnceNode node) {
        node.paused = false;
        List<Runnable> held = new ArrayList<>(node.held);
        node.held.clear();
        // What piled up during a pause is handled in any order.
        while (!held.isEmpty()) {
            held.remove(random.nextInt(held.size())).run();
        }
    }

    void act(OnceNode node, BiConsumer<Long, Outbox> step) {
        long process = node.incarnation;
        if (!node.up) {
            return;
        }
        if (node.paused) {
            node.held.add(
                    () -> {
                        if (node.incarnation == process) {
                            act(node, step);
                        }
                    });
            return;
        }
        Outbox outbox = new Outbox();
        step.accept(node.clock(now), outbox);
        outbox.actions().forEach(action -> carryOut(node, action));
        Object value;
        while ((value = OutboxReader.poll(outbox)) != null) {
            decided(node, (ClaimDecision) value);
        }
        replyInHand = null;
    }

    private void carryOut(OnceNode node, Action action) {
        switch (action) {
            case Action.SetTimer timer -> setTimer(node, timer);
            case Action.SendPeer send -> sendPeer(node, send.to(), (ClaimMessage) send.message());
            case Action.CallStore call -> callStore(node, call.call(), call.request());
            default -> throw new IllegalStateException(action.toString());
        }
    }

    private void setTimer(OnceNode node, Action.SetTimer set) {
        long process = node.incarnation;
        lastDue++;
        long token = lastDue;
        node.timers.put(set.timer(), token);
        after(
                set.delayNanos(),
                () -> {
                    boolean current = Long.valueOf(token).equals(node.timers.get(set.timer()));
                    if (current && node.incarnation == process) {
                        handle(node, new Event.TimerFired(set.timer()));
                    }
                });
    }

    private void handle(OnceNode node, Event event) {
        act(
                node,
                (time, outbox) -> {
                    if (event instanceof Event.PeerReceived received
                            && received.message() instanceof ClaimMessage.ClaimReply reply) {
                        replyInHand = askName(node.id, reply.incarnation(), reply.claim());
                    }
                    node.engine.handle(event, time, outbox);
                });
    }

    private void sendPeer(OnceNode from, InstanceId to, ClaimMessage message) {
        sent.add(message);
        checkMessage(from, to, message);
        int copies = chance(netFaults.twice) ? 2 : chance(netFaults.lost) ? 0 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = random.nextLong(1 * MILLI, 30 * MILLI);
            if (chance(netFaults.late)) {
                delay += random.nextLong(12_000 * MILLI);
            }
            after(delay, () -> handle(nodes.get(to), new Event.PeerReceived(from.id, message)));
        }
    }

    private void checkMessage(OnceNode from, InstanceId to, ClaimMessage message) {
        String group =
                switch (message) {
                    case ClaimMessage.ClaimAsk ask -> ask.group();
                    case ClaimMessage.ClaimOutcome outcome -> outcome.group();
                    case ClaimMessage.OwnershipHandover handover -> handover.group();
                    case ClaimMessage.ClaimReply reply -> "any";
                };
        if (!new GroupName(group).allows(nodes.get(to).region)) {
            throw new AssertionError("message leaves the home regions: " + message);
        }
        if (message instanceof ClaimMessage.ClaimAsk ask) {
            digestByAsk.put(askName(from.id, ask.incarnation(), ask.claim()), ask.keyDigest());
        } else if (message instanceof ClaimMessage.ClaimReply reply
                && reply.verdict() == ClaimMessage.Verdict.UNAVAILABLE_NOT_RUN) {
            String ask = askName(to, reply.incarnation(), reply.claim());
            if (oracle.mayHaveRun(digestByAsk.get(ask))) {
                falseReplies.add(ask);
            }
        }
    }

    private static String askName(InstanceId asker, long incarnation, long claim) {
        return asker + "/" + incarnation + "/" + claim;
    }

    private void callStore(OnceNode node, StoreCallId call, StoreRequest request) {
        oracle.called(request);
        count(node, request);
        long process = node.incarnation;
        java.util.function.Consumer<StoreAnswer> answer =
                value -> {
                    if (node.incarnation == process) {
                        handle(node, new Event.StoreAnswered(call, value));
                    }
                };
        StoreAnswer noAnswer = new StoreAnswer.Failed(StoreFailure.NO_ANSWER);
        long delay = random.nextLong(1 * MILLI, 4 * MILLI);
        if (chance(apiFaults.lost)) {
            StoreFailure[] kinds = {
                StoreFailure.NOT_SENT, StoreFailure.REFUSED, StoreFailure.NO_ANSWER
            };
            StoreFailure kind = kinds[random.nextInt(kinds.length)];
            after(delay, () -> answer.accept(new StoreAnswer.Failed(kind)));
        } else if (chance(apiFaults.late)) {
            after(random.nextLong(12_000 * MILLI), () -> api.apply(request));
            after(delay + 300 * MILLI, () -> answer.accept(noAnswer));
        } else if (chance(apiFaults.twice)) {
            after(delay, () -> api.apply(request));
            after(delay + 300 * MILLI, () -> answer.accept(noAnswer));
        } else {
            long slow = apiFaults.slowMillis == 0 ? 0 : random.nextLong(apiFaults.slowMillis);
            after(
                    delay + slow * MILLI,
                    () -> {
                        StoreAnswer value = api.apply(request);
                        after(delay + slow * MILLI, () -> answer.accept(value));
                    });
        }
    }

    private void count(OnceNode node, StoreRequest request) {
        long time = node.clock(now);
        String key =
                switch (request) {
                    case StoreRequest.Create create -> create.key();
                    case StoreRequest.Delete delete -> delete.key();
                    default -> "";
                };
        if (key.startsWith("once/")) {
            String partition = key.substring(0, key.lastIndexOf('/'));
            checkRate(node.writesNanos.computeIfAbsent(partition, p -> new ArrayList<>()), 8, time);
        } else if (request instanceof StoreRequest.Read read
                && read.key().startsWith("once-owner/")) {
            checkRate(node.readsNanos, 10, time);
        }
    }

    private static void checkRate(List<Long> times, int perSecond, long time) {
        times.add(time);
        int first = times.size() - 1 - perSecond;
        if (first >= 0 && time - times.get(first) < 1_000 * MILLI) {
            throw new AssertionError("more than " + perSecond + " calls per second");
        }
    }

    private void decided(OnceNode node, ClaimDecision decision) {
        Submitted submitted = submissions.get(decision.request());
        if (decisions.put(decision.request(), decision) != null) {
            throw new AssertionError("second decision " + decision);
        }
        switch (decision) {
            case ClaimDecision.Granted granted -> {
                oracle.granted(submitted.digest, node.id + " at " + now / MILLI + " ms");
                if (!holdWork) {
                    work(node, granted.request());
                }
            }
            case ClaimDecision.Replay replay -> oracle.replayed(submitted.digest, replay.answer());
            case ClaimDecision.Refused refused ->
                    oracle.refused(refused, mayHaveRun(submitted.digest));
        }
    }

    /** A remote owner's "not run" is judged by what had run when the owner said it. */
    private boolean mayHaveRun(String digest) {
        return replyInHand == null ? oracle.mayHaveRun(digest) : falseReplies.contains(replyInHand);
    }

    private void work(OnceNode node, RequestId request) {
        ClaimMessage.End[] ends = {
            ClaimMessage.End.ANSWERED,
            ClaimMessage.End.ANSWERED,
            ClaimMessage.End.NOT_RUN,
            ClaimMessage.End.UNKNOWN
        };
        ClaimMessage.End end = ends[random.nextInt(ends.length)];
        long process = node.incarnation;
        after(
                random.nextLong(2_000 * MILLI),
                () -> {
                    if (node.up && node.incarnation == process) {
                        end(node, request, end);
                    }
                });
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    /** Probabilities of faults of a link; for the object API "twice" means a lost answer. */
    record Faults(double lost, double late, double twice, long slowMillis) {
        static final Faults NONE = new Faults(0, 0, 0, 0);
    }

    private record Submitted(String key, String digest) {}

    private record Due(long atNanos, long number, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
