package org.snipeslip.core.idempotency;

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
 * Simulates several engines with their messages, timers and object API calls in virtual time.
 * Region "near" hosts the object API. Runs with the same seed are identical.
 */
final class IdempotencySimulation {
    static final long MILLI = 1_000_000;
    static final RegionId NEAR = new RegionId("near");
    static final RegionId FAR = new RegionId("far");

    final SplittableRandom random;
    final IdempotencySettings settings;
    final FakeObjectApi api = new FakeObjectApi();
    final IdempotencyOracle oracle = new IdempotencyOracle();
    final Map<InstanceId, IdempotencyNode> nodes = new LinkedHashMap<>();
    final Map<RequestId, ClaimDecision> decisions = new HashMap<>();
    final List<ClaimMessage> sentMessages = new ArrayList<>();
    Faults apiFaults = Faults.NONE;
    Faults netFaults = Faults.NONE;
    boolean endCallsManually;
    long now;
    private final PriorityQueue<Task> queue = new PriorityQueue<>();
    private final Map<RequestId, Submission> submissions = new HashMap<>();
    private final Map<String, String> digestByClaim = new HashMap<>();
    private final Set<String> falseNotRuns = new HashSet<>();
    private String replyClaim;
    private long lastTaskNumber;
    private int lastRequest;

    IdempotencySimulation(long seed, IdempotencySettings settings) {
        this.random = new SplittableRandom(seed);
        this.settings = settings;
    }

    IdempotencyNode add(String name, RegionId region) {
        IdempotencyNode node =
                new IdempotencyNode(
                        name,
                        region.value(),
                        random.nextLong(-100_000, 100_000) * MILLI,
                        random.nextDouble(0.99, 1.01));
        nodes.put(node.id, node);
        start(node);
        return node;
    }

    void start(IdempotencyNode node) {
        node.start(settings);
        Map<RegionId, HomeRegion> regions =
                Map.of(NEAR, new HomeRegion(NEAR, true), FAR, new HomeRegion(FAR, false));
        ConfigSet config =
                new ConfigSet(new Generation(1), regions, Map.of(), Map.of(), Map.of(), Map.of());
        run(node, (time, outbox) -> node.engine.configure(config, time, outbox));
    }

    void crash(IdempotencyNode node) {
        node.up = false;
        node.deferredSteps.clear();
    }

    /** Updates the view of every node to all nodes that are up. */
    void updateAllViews() {
        nodes.values().forEach(node -> updateView(node, null));
    }

    void updateView(IdempotencyNode node, IdempotencyNode omitted) {
        if (now < node.viewFrozenUntilNanos) {
            return;
        }
        List<MemberUpdate> members =
                nodes.values().stream()
                        .filter(other -> other.up && (other != omitted || other == node))
                        .map(IdempotencyNode::member)
                        .toList();
        run(node, (time, o) -> node.engine.membersChanged(new MemberView(members), time, o));
    }

    RequestId submit(IdempotencyNode node, String key, HomeRegions homeRegions) {
        lastRequest++;
        RequestId id = new RequestId("r" + lastRequest);
        run(
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
                    submissions.put(id, new Submission(key, digest));
                    if (!GroupName.of(homeRegions, Set.of(NEAR)).isDurable()) {
                        oracle.boundDigests.add(digest);
                    }
                    node.engine.claim(claim, time, outbox);
                });
        return id;
    }

    /** Ends a granted call while {@link #endCallsManually} is set. */
    void endCall(IdempotencyNode node, RequestId request, ClaimMessage.ClaimState state) {
        RecordableAnswer answer =
                state == ClaimMessage.ClaimState.ANSWERED
                        ? new RecordableAnswer(200, "text/plain", request.value(), true)
                        : RecordableAnswer.NONE;
        IdempotencyOracle.Grant grant =
                oracle.grantsByDigest.get(submissions.get(request).digest).getLast();
        grant.state = state;
        grant.answer = answer;
        run(node, (time, o) -> node.engine.end(new ClaimEnd(request, state, answer), time, o));
    }

    void startPlannedStop(IdempotencyNode node) {
        node.leaving = true;
        run(node, (time, outbox) -> node.engine.startHandover(time, outbox));
    }

    void runFor(long millis) {
        long until = now + millis * MILLI;
        while (!queue.isEmpty() && queue.peek().atNanos <= until) {
            Task due = queue.poll();
            now = due.atNanos;
            due.action.run();
        }
        now = until;
    }

    void schedule(long delayNanos, Runnable action) {
        lastTaskNumber++;
        queue.add(new Task(now + Math.max(0, delayNanos), lastTaskNumber, action));
    }

    void resume(IdempotencyNode node) {
        node.paused = false;
        List<Runnable> steps = new ArrayList<>(node.deferredSteps);
        node.deferredSteps.clear();
        // Events that arrived during the pause are handled in random order.
        while (!steps.isEmpty()) {
            steps.remove(random.nextInt(steps.size())).run();
        }
    }

    void run(IdempotencyNode node, BiConsumer<Long, Outbox> step) {
        long process = node.incarnation;
        if (!node.up) {
            return;
        }
        if (node.paused) {
            node.deferredSteps.add(
                    () -> {
                        if (node.incarnation == process) {
                            run(node, step);
                        }
                    });
            return;
        }
        Outbox outbox = new Outbox();
        step.accept(node.localNanos(now), outbox);
        outbox.actions().forEach(action -> execute(node, action));
        Object value;
        while ((value = OutboxReader.poll(outbox)) != null) {
            decisionMade(node, (ClaimDecision) value);
        }
        replyClaim = null;
    }

    private void execute(IdempotencyNode node, Action action) {
        switch (action) {
            case Action.SetTimer timer -> setTimer(node, timer);
            case Action.SendPeerMessage a -> sendPeer(node, a.to(), (ClaimMessage) a.message());
            case Action.CallStore call -> callObjectApi(node, call.call(), call.request());
            default -> throw new IllegalStateException("unsupported action: " + action);
        }
    }

    private void setTimer(IdempotencyNode node, Action.SetTimer set) {
        long process = node.incarnation;
        lastTaskNumber++;
        long token = lastTaskNumber;
        node.timers.put(set.timer(), token);
        schedule(
                set.delayNanos(),
                () -> {
                    boolean current = Long.valueOf(token).equals(node.timers.get(set.timer()));
                    if (current && node.incarnation == process) {
                        handle(node, new Event.TimerFired(set.timer()));
                    }
                });
    }

    private void handle(IdempotencyNode node, Event event) {
        run(
                node,
                (time, outbox) -> {
                    if (event instanceof Event.PeerMessageReceived received
                            && received.message() instanceof ClaimMessage.ClaimReply reply) {
                        replyClaim = claimName(node.id, reply.incarnation(), reply.claim());
                    }
                    node.engine.handle(event, time, outbox);
                });
    }

    private void sendPeer(IdempotencyNode from, InstanceId to, ClaimMessage message) {
        sentMessages.add(message);
        checkMessage(from, to, message);
        int copies = chance(netFaults.duplicateRate) ? 2 : chance(netFaults.lostRate) ? 0 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = random.nextLong(1 * MILLI, 30 * MILLI);
            if (chance(netFaults.lateRate)) {
                delay += random.nextLong(12_000 * MILLI);
            }
            schedule(
                    delay,
                    () -> handle(nodes.get(to), new Event.PeerMessageReceived(from.id, message)));
        }
    }

    private void checkMessage(IdempotencyNode from, InstanceId to, ClaimMessage message) {
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
            digestByClaim.put(claimName(from.id, ask.incarnation(), ask.claim()), ask.keyDigest());
        } else if (message instanceof ClaimMessage.ClaimReply reply
                && reply.verdict() == ClaimMessage.Verdict.UNAVAILABLE_NOT_RUN) {
            String claim = claimName(to, reply.incarnation(), reply.claim());
            if (oracle.mayHaveRun(digestByClaim.get(claim))) {
                falseNotRuns.add(claim);
            }
        }
    }

    private static String claimName(InstanceId requester, long incarnation, long claim) {
        return requester + "/" + incarnation + "/" + claim;
    }

    private void callObjectApi(IdempotencyNode node, StoreCallId call, StoreRequest request) {
        oracle.checkRequest(request);
        checkCallRate(node, request);
        long process = node.incarnation;
        java.util.function.Consumer<StoreAnswer> answer =
                value -> {
                    if (node.incarnation == process) {
                        handle(node, new Event.StoreAnswered(call, value));
                    }
                };
        StoreAnswer noAnswer = new StoreAnswer.Failed(StoreFailure.NO_ANSWER);
        long delay = random.nextLong(1 * MILLI, 4 * MILLI);
        if (chance(apiFaults.lostRate)) {
            StoreFailure[] kinds = {
                StoreFailure.NOT_SENT, StoreFailure.REFUSED, StoreFailure.NO_ANSWER
            };
            StoreFailure kind = kinds[random.nextInt(kinds.length)];
            schedule(delay, () -> answer.accept(new StoreAnswer.Failed(kind)));
        } else if (chance(apiFaults.lateRate)) {
            schedule(random.nextLong(12_000 * MILLI), () -> api.apply(request));
            schedule(delay + 300 * MILLI, () -> answer.accept(noAnswer));
        } else if (chance(apiFaults.duplicateRate)) {
            schedule(delay, () -> api.apply(request));
            schedule(delay + 300 * MILLI, () -> answer.accept(noAnswer));
        } else {
            long slow = apiFaults.maxSlowMillis == 0 ? 0 : random.nextLong(apiFaults.maxSlowMillis);
            schedule(
                    delay + slow * MILLI,
                    () -> {
                        StoreAnswer value = api.apply(request);
                        schedule(delay + slow * MILLI, () -> answer.accept(value));
                    });
        }
    }

    private void checkCallRate(IdempotencyNode node, StoreRequest request) {
        long time = node.localNanos(now);
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
            throw new AssertionError("more than " + perSecond + " calls within 1 s");
        }
    }

    private void decisionMade(IdempotencyNode node, ClaimDecision decision) {
        Submission call = submissions.get(decision.request());
        if (decisions.put(decision.request(), decision) != null) {
            throw new AssertionError("second decision on a claim: " + decision);
        }
        switch (decision) {
            case ClaimDecision.Granted granted -> {
                oracle.checkGrant(call.digest, node.id + " at " + now / MILLI + " ms");
                if (!endCallsManually) {
                    scheduleEnd(node, granted.request());
                }
            }
            case ClaimDecision.Replay replay -> oracle.checkReplay(call.digest, replay.answer());
            case ClaimDecision.Refused refused ->
                    oracle.checkRefusal(refused, mayHaveRun(call.digest));
        }
    }

    /** Checks a remote owner's "not run" against the history at the time of the reply. */
    private boolean mayHaveRun(String digest) {
        return replyClaim == null ? oracle.mayHaveRun(digest) : falseNotRuns.contains(replyClaim);
    }

    private void scheduleEnd(IdempotencyNode node, RequestId request) {
        ClaimMessage.ClaimState[] states = {
            ClaimMessage.ClaimState.ANSWERED,
            ClaimMessage.ClaimState.ANSWERED,
            ClaimMessage.ClaimState.NOT_RUN,
            ClaimMessage.ClaimState.UNKNOWN
        };
        ClaimMessage.ClaimState state = states[random.nextInt(states.length)];
        long process = node.incarnation;
        schedule(
                random.nextLong(2_000 * MILLI),
                () -> {
                    if (node.up && node.incarnation == process) {
                        endCall(node, request, state);
                    }
                });
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    /** Faults of a link. A duplicate on the object API is an executed call whose answer is lost. */
    record Faults(double lostRate, double lateRate, double duplicateRate, long maxSlowMillis) {
        static final Faults NONE = new Faults(0, 0, 0, 0);
    }

    private record Submission(String key, String digest) {}

    private record Task(long atNanos, long number, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
