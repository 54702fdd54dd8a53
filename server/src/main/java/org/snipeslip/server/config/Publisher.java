package org.snipeslip.server.config;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/**
 * Publishes a whole set atomically: first its parts, then the head by conditional write. The caller
 * has checked the set.
 */
public final class Publisher {
    private final RetryingStore store;
    private final PublishedReader reader;
    private final PartWriter partWriter;
    private final Supplier<String> writers;
    private final ConfigJson codec = new ConfigJson();

    /**
     * Creates a publisher.
     *
     * @param store the object API
     * @param writers gives each publication an identity of its own
     * @param pause waits before a repeated call; gets the number of tries so far
     */
    public Publisher(ObjectStore store, Supplier<String> writers, IntConsumer pause) {
        this.store = new RetryingStore(store, pause);
        this.reader = new PublishedReader(store, pause);
        this.partWriter = new PartWriter(this.store);
        this.writers = writers;
    }

    /**
     * Publishes a set in place of the one it is based on. A conflict is reported and not retried.
     *
     * @param base the configuration in force as read by the caller
     * @param objects all objects of the new set
     * @return how it ended
     */
    public PublishResult publish(PublishedConfig base, List<ConfigObject> objects) {
        List<ConfigChange> changes = ConfigDiff.between(base.objects(), objects);
        if (changes.isEmpty() && base.headVersion() != 0) {
            return new PublishResult.Unchanged(base.head().generation());
        }
        List<ConfigPart> parts =
                objects.stream().sorted(ConfigObject.ORDER).map(codec::encodeObject).toList();
        Set<String> published = new HashSet<>(base.head().digests());
        for (ConfigPart part : parts) {
            Optional<StoreProblem> problem =
                    published.contains(part.digest()) ? Optional.empty() : partWriter.ensure(part);
            if (problem.isPresent()) {
                return new PublishResult.Failed(problem.get());
            }
        }
        ConfigHead head =
                new ConfigHead(
                        base.head().generation().next(),
                        writers.get(),
                        parts.stream().map(ConfigPart::digest).toList());
        PartCleaner cleaner = new PartCleaner(store, base.head(), head);
        PublishResult result = writeHead(base, head, objects, changes);
        return result instanceof PublishResult.Published
                ? new PublishResult.Published(head.generation(), changes, cleaner.delete())
                : result;
    }

    /**
     * Repeating the write after a lost answer is safe: it has the same content and condition, so it
     * takes effect at most once.
     */
    private PublishResult writeHead(
            PublishedConfig base,
            ConfigHead head,
            List<ConfigObject> objects,
            List<ConfigChange> changes) {
        boolean answerLost = false;
        StoreAnswer answer = new StoreAnswer.Conflict();
        for (int tries = 1; tries <= RetryingStore.MAX_TRIES; tries++) {
            answer = store.once(headWrite(base, head));
            if (answer instanceof StoreAnswer.Written) {
                return new PublishResult.Published(head.generation(), changes, 0);
            }
            if (answer.equals(new StoreAnswer.Failed(StoreFailure.TOO_LARGE))) {
                break;
            }
            answerLost |= mayHaveTakenEffect(answer);
            if (!isKnownWithoutEffect(answer)) {
                Optional<PublishResult> settled = settle(base, head, objects, answerLost);
                if (settled.isPresent()) {
                    return settled.get();
                }
            }
            store.pause(tries);
        }
        if (answerLost) {
            return new PublishResult.Unresolved(head.generation(), head.writer());
        }
        return answer instanceof StoreAnswer.Conflict
                ? new PublishResult.Conflicted(head.generation(), "", Optional.empty())
                : new PublishResult.Failed(PublishedReader.problem(ConfigHead.KEY, answer));
    }

    private StoreRequest headWrite(PublishedConfig base, ConfigHead head) {
        String text = codec.encodeHead(head);
        return base.headVersion() == 0
                ? new StoreRequest.Create(ConfigHead.KEY, text)
                : new StoreRequest.Update(ConfigHead.KEY, text, base.headVersion());
    }

    private static boolean mayHaveTakenEffect(StoreAnswer answer) {
        return answer.equals(new StoreAnswer.Failed(StoreFailure.NO_ANSWER));
    }

    private static boolean isKnownWithoutEffect(StoreAnswer answer) {
        return answer instanceof StoreAnswer.Failed && !mayHaveTakenEffect(answer);
    }

    /** Reads the head again; empty if it does not settle how the write ended. */
    private Optional<PublishResult> settle(
            PublishedConfig base, ConfigHead head, List<ConfigObject> objects, boolean answerLost) {
        Either<StoreProblem, PublishedConfig> read = reader.readHead();
        if (read.isLeft() || read.get().headVersion() == base.headVersion()) {
            return Optional.empty();
        }
        ConfigHead current = read.get().head();
        if (current.writer().equals(head.writer())) {
            return Optional.of(new PublishResult.Published(head.generation(), List.of(), 0));
        }
        if (answerLost && current.generation().isNewerThan(head.generation())) {
            return Optional.of(
                    new PublishResult.Superseded(
                            head.generation(), current.generation(), current.writer()));
        }
        return Optional.of(
                new PublishResult.Conflicted(
                        current.generation(), current.writer(), differing(objects)));
    }

    private Optional<List<ConfigChange>> differing(List<ConfigObject> objects) {
        return reader.read()
                .toJavaOptional()
                .map(inForce -> ConfigDiff.between(inForce.objects(), objects));
    }
}
