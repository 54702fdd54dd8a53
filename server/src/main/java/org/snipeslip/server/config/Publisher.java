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
 * Publishes a whole set of objects atomically: the parts are written first, then the head with a
 * conditional write. The caller must have validated the set.
 */
public final class Publisher {
    private final RetryingStore store;
    private final PublishedReader reader;
    private final PartWriter partWriter;
    private final Supplier<String> writerIds;
    private final ConfigJson codec = new ConfigJson();

    /**
     * Creates a publisher.
     *
     * @param store client of the object API
     * @param writerIds returns a unique id for each publication
     * @param pause waits before a retry; receives the number of attempts made so far
     */
    public Publisher(ObjectStore store, Supplier<String> writerIds, IntConsumer pause) {
        this.store = new RetryingStore(store, pause);
        this.reader = new PublishedReader(store, pause);
        this.partWriter = new PartWriter(this.store);
        this.writerIds = writerIds;
    }

    /**
     * Replaces the configuration in force by a new set. A conflict is reported, not retried.
     *
     * @param base the configuration in force, as read by the caller
     * @param objects all objects of the new set
     * @return the result
     */
    public PublishResult publish(PublishedConfig base, List<ConfigObject> objects) {
        List<ConfigChange> changes = ConfigDiff.between(base.objects(), objects);
        if (changes.isEmpty() && base.headVersion() != 0) {
            return new PublishResult.Unchanged(base.head().generation());
        }
        List<ConfigPart> parts =
                objects.stream().sorted(ConfigObject.ORDER).map(codec::encodeObject).toList();
        Set<String> publishedDigests = new HashSet<>(base.head().digests());
        for (ConfigPart part : parts) {
            Optional<StoreProblem> problem =
                    publishedDigests.contains(part.digest())
                            ? Optional.empty()
                            : partWriter.ensure(part);
            if (problem.isPresent()) {
                return new PublishResult.Failed(problem.get());
            }
        }
        ConfigHead head =
                new ConfigHead(
                        base.head().generation().next(),
                        writerIds.get(),
                        parts.stream().map(ConfigPart::digest).toList());
        PartCleaner cleaner = new PartCleaner(store, base.head(), head);
        PublishResult result = writeHead(base, head, objects, changes);
        return result instanceof PublishResult.Published
                ? new PublishResult.Published(head.generation(), changes, cleaner.delete())
                : result;
    }

    /**
     * Writes the head, with retries. A retry after a lost answer is safe, because it has the same
     * content and condition and therefore takes effect at most once.
     */
    private PublishResult writeHead(
            PublishedConfig base,
            ConfigHead head,
            List<ConfigObject> objects,
            List<ConfigChange> changes) {
        boolean answerLost = false;
        StoreAnswer answer = new StoreAnswer.Conflict();
        for (int attempt = 1; attempt <= RetryingStore.MAX_TRIES; attempt++) {
            answer = store.callOnce(headWrite(base, head));
            if (answer instanceof StoreAnswer.Written) {
                return new PublishResult.Published(head.generation(), changes, 0);
            }
            if (answer.equals(new StoreAnswer.Failed(StoreFailure.TOO_LARGE))) {
                break;
            }
            answerLost |= mayHaveTakenEffect(answer);
            if (!isKnownWithoutEffect(answer)) {
                Optional<PublishResult> outcome = resolveOutcome(base, head, objects, answerLost);
                if (outcome.isPresent()) {
                    return outcome.get();
                }
            }
            store.pause(attempt);
        }
        if (answerLost) {
            return new PublishResult.Unresolved(head.generation(), head.writer());
        }
        return answer instanceof StoreAnswer.Conflict
                ? new PublishResult.Conflicted(head.generation(), "", Optional.empty())
                : new PublishResult.Failed(PublishedReader.toProblem(ConfigHead.KEY, answer));
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

    /** Determines the outcome of the write from the head; empty if the head does not show it. */
    private Optional<PublishResult> resolveOutcome(
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
                        current.generation(), current.writer(), differencesFromPublished(objects)));
    }

    private Optional<List<ConfigChange>> differencesFromPublished(List<ConfigObject> objects) {
        return reader.read()
                .toJavaOptional()
                .map(inForce -> ConfigDiff.between(inForce.objects(), objects));
    }
}
