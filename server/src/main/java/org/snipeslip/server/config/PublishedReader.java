package org.snipeslip.server.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.store.StoredObject;

/** Reads the published configuration: the head with one call, then all parts with another. */
public final class PublishedReader {
    /** Limits the reads repeated because a concurrent publication deleted a part. */
    private static final int MAX_READ_ATTEMPTS = 3;

    private final RetryingStore store;
    private final ConfigJson codec = new ConfigJson();

    /**
     * Creates a reader.
     *
     * @param store client of the object API
     * @param pause waits before a retry; receives the number of attempts made so far
     */
    public PublishedReader(ObjectStore store, IntConsumer pause) {
        this.store = new RetryingStore(store, pause);
    }

    /**
     * Reads the configuration in force.
     *
     * @return the configuration, {@link PublishedConfig#NONE} if none has been published, or the
     *     problem
     */
    public Either<StoreProblem, PublishedConfig> read() {
        Either<StoreProblem, PublishedConfig> result = readOnce();
        for (int attempt = 1; attempt < MAX_READ_ATTEMPTS && isMissingPart(result); attempt++) {
            store.pause(attempt);
            result = readOnce();
        }
        return result;
    }

    private static boolean isMissingPart(Either<StoreProblem, PublishedConfig> result) {
        return result.isLeft() && result.getLeft() instanceof StoreProblem.MissingPart;
    }

    private Either<StoreProblem, PublishedConfig> readOnce() {
        return readHead()
                .flatMap(
                        head ->
                                head.headVersion() == 0
                                        ? Either.right(head)
                                        : readParts().flatMap(parts -> decodeObjects(head, parts)));
    }

    /**
     * Reads only the head. It can be read even if parts are missing or damaged.
     *
     * @return the configuration without its objects, or the problem
     */
    public Either<StoreProblem, PublishedConfig> readHead() {
        StoreAnswer answer = store.readWithRetries(new StoreRequest.Read(ConfigHead.KEY));
        return switch (answer) {
            case StoreAnswer.Absent absent -> Either.right(PublishedConfig.NONE);
            case StoreAnswer.Found found ->
                    codec.decodeHead(found.object().value())
                            .<StoreProblem>mapLeft(StoreProblem.Damaged::new)
                            .map(
                                    head ->
                                            new PublishedConfig(
                                                    found.object().version(), head, List.of()));
            default -> Either.left(toProblem(ConfigHead.KEY, answer));
        };
    }

    private Either<StoreProblem, Map<String, String>> readParts() {
        StoreAnswer answer =
                store.readWithRetries(new StoreRequest.ListPrefix(ConfigHead.PART_PREFIX));
        if (!(answer instanceof StoreAnswer.Listed listed)) {
            return Either.left(toProblem(ConfigHead.PART_PREFIX, answer));
        }
        Map<String, String> textByDigest = new HashMap<>();
        for (StoredObject part : listed.objects()) {
            textByDigest.put(digestOf(part), part.value());
        }
        return Either.right(textByDigest);
    }

    static String digestOf(StoredObject part) {
        return part.key().substring(ConfigHead.PART_PREFIX.length());
    }

    private Either<StoreProblem, PublishedConfig> decodeObjects(
            PublishedConfig published, Map<String, String> textByDigest) {
        List<ConfigObject> objects = new ArrayList<>();
        for (String digest : published.head().digests()) {
            String text = textByDigest.get(digest);
            if (text == null) {
                return Either.left(new StoreProblem.MissingPart(digest));
            }
            Either<ConfigFault, ConfigObject> object =
                    codec.decodeObject(ConfigHead.PART_PREFIX + digest, text);
            if (object.isLeft()) {
                return Either.left(new StoreProblem.Damaged(object.getLeft()));
            }
            objects.add(object.get());
        }
        objects.sort(ConfigObject.ORDER);
        return Either.right(
                new PublishedConfig(published.headVersion(), published.head(), objects));
    }

    static StoreProblem toProblem(String key, StoreAnswer answer) {
        return answer instanceof StoreAnswer.Failed(StoreFailure reason)
                ? new StoreProblem.Unavailable(key, reason)
                : new StoreProblem.UnexpectedAnswer(key, answer.getClass().getSimpleName());
    }
}
