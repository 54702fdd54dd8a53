package org.snipeslip.core.spread;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.store.StoredObject;

/**
 * Follows the configuration in the object API: watches the head, reads missing parts and adopts a
 * generation once it is whole and newer than the one in force.
 */
public final class ConfigFollower {
    private static final TimerId RETRY = new TimerId(EngineName.CONTROL, "config-retry");

    private final ControlSettings settings;
    private final ConfigCodec codec;
    private final RandomGenerator random;
    private final Map<String, ConfigPart> partsByDigest = new HashMap<>();
    private final Map<Long, String> readsInFlight = new HashMap<>();
    private final Deque<String> missingDigests = new ArrayDeque<>();

    private ConfigSet inForce = ConfigSet.EMPTY;
    private ConfigHead wanted;
    private long headVersion;
    private long nextCall = 1;
    private long watchCall;
    private int failures;

    /**
     * Creates a follower.
     *
     * @param settings its settings
     * @param codec reads stored objects
     * @param random spreads retries in time
     */
    public ConfigFollower(ControlSettings settings, ConfigCodec codec, RandomGenerator random) {
        this.settings = settings;
        this.codec = codec;
        this.random = random;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link ConfigSet#EMPTY} before the first
     */
    public ConfigSet inForce() {
        return inForce;
    }

    /**
     * Starts the first watch.
     *
     * @param outbox takes the actions
     */
    public void start(Outbox outbox) {
        watch(outbox);
    }

    /**
     * Takes an answer of the object API.
     *
     * @param event the answer
     * @param outbox takes the actions
     */
    public void answered(Event.StoreAnswered event, Outbox outbox) {
        String digest = readsInFlight.remove(event.call().number());
        if (digest != null) {
            partRead(digest, event.answer(), outbox);
        } else if (event.call().number() == watchCall) {
            headRead(event.answer(), outbox);
        }
    }

    /**
     * Takes a timer.
     *
     * @param timer the timer
     * @param outbox takes the actions
     */
    public void timerFired(TimerId timer, Outbox outbox) {
        if (timer.equals(RETRY)) {
            watch(outbox);
        }
    }

    private void watch(Outbox outbox) {
        watchCall = nextCall++;
        outbox.add(
                new Action.CallStore(
                        new StoreCallId(EngineName.CONTROL, watchCall),
                        new StoreRequest.Watch(
                                ConfigHead.KEY, headVersion, settings.watchMillis())));
    }

    private void headRead(StoreAnswer answer, Outbox outbox) {
        switch (answer) {
            case StoreAnswer.Found found -> headFound(found.object(), outbox);
            case StoreAnswer.Unchanged unchanged -> {
                failures = 0;
                watch(outbox);
            }
            case StoreAnswer.Absent absent -> retryLater(outbox);
            default -> retryLater(outbox);
        }
    }

    private void headFound(StoredObject object, Outbox outbox) {
        Either<ConfigFault, ConfigHead> decoded = codec.decodeHead(object.value());
        if (decoded.isLeft()) {
            retryLater(outbox);
            return;
        }
        failures = 0;
        headVersion = object.version();
        if (decoded.get().generation().isNewerThan(inForce.generation())) {
            wanted = decoded.get();
            collectMissing();
            readMissing(outbox);
        }
        adoptIfWhole(outbox);
        if (wanted == null) {
            watch(outbox);
        }
    }

    private void collectMissing() {
        missingDigests.clear();
        for (String digest : wanted.digests()) {
            if (!partsByDigest.containsKey(digest) && !readsInFlight.containsValue(digest)) {
                missingDigests.add(digest);
            }
        }
    }

    private void readMissing(Outbox outbox) {
        while (!missingDigests.isEmpty() && readsInFlight.size() < settings.readsInFlight()) {
            String digest = missingDigests.remove();
            long call = nextCall++;
            readsInFlight.put(call, digest);
            outbox.add(
                    new Action.CallStore(
                            new StoreCallId(EngineName.CONTROL, call),
                            new StoreRequest.Read(ConfigHead.PART_PREFIX + digest)));
        }
    }

    private void partRead(String digest, StoreAnswer answer, Outbox outbox) {
        if (answer instanceof StoreAnswer.Found found
                && codec.digest(found.object().value()).equals(digest)) {
            partsByDigest.put(digest, new ConfigPart(digest, found.object().value()));
            readMissing(outbox);
            adoptIfWhole(outbox);
            if (wanted == null) {
                watch(outbox);
            }
        } else if (readsInFlight.isEmpty()) {
            headVersion = 0;
            retryLater(outbox);
        }
    }

    private void adoptIfWhole(Outbox outbox) {
        if (wanted == null || !partsByDigest.keySet().containsAll(wanted.digests())) {
            return;
        }
        List<ConfigPart> parts = new ArrayList<>();
        wanted.digests().forEach(digest -> parts.add(partsByDigest.get(digest)));
        Generation generation = wanted.generation();
        Either<ConfigFault, ConfigSet> decoded = codec.decode(wanted, parts);
        wanted = null;
        if (decoded.isRight() && generation.isNewerThan(inForce.generation())) {
            inForce = decoded.get();
            partsByDigest.clear();
            parts.forEach(part -> partsByDigest.put(part.digest(), part));
            outbox.add(new Action.ConfigAdopted(inForce));
        }
    }

    private void retryLater(Outbox outbox) {
        failures++;
        long ceilingMillis =
                Math.min(
                        settings.retryMaxMillis(),
                        settings.retryMinMillis() << Math.min(failures, 16));
        long delayMillis = settings.retryMinMillis() + random.nextLong(ceilingMillis);
        outbox.add(new Action.SetTimer(RETRY, delayMillis * 1_000_000));
    }
}
