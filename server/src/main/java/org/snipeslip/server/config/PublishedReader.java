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

/** Reads the published configuration: the head and then all parts with one call. */
public final class PublishedReader {
    /** A reading is repeated if later publications deleted a part in the meantime. */
    private static final int MAX_READINGS = 3;

    private final RetryingStore store;
    private final ConfigJson codec = new ConfigJson();

    /**
     * Creates a reader.
     *
     * @param store the object API
     * @param pause waits before a repeated call; gets the number of tries so far
     */
    public PublishedReader(ObjectStore store, IntConsumer pause) {
        this.store = new RetryingStore(store, pause);
    }

    /**
     * Reads the configuration in force.
     *
     * @return the configuration, {@link PublishedConfig#NONE} if there is none, or the problem
     */
    public Either<StoreProblem, PublishedConfig> read() {
        Either<StoreProblem, PublishedConfig> result = readOnce();
        for (int i = 1; i < MAX_READINGS && isMissingPart(result); i++) {
            store.pause(i);
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
                                        : readParts().flatMap(parts -> withObjects(head, parts)));
    }

    /**
     * Reads the head only.
     *
     * @return the configuration without its objects, or the problem
     */
    public Either<StoreProblem, PublishedConfig> readHead() {
        StoreAnswer answer = store.read(new StoreRequest.Read(ConfigHead.KEY));
        return switch (answer) {
            case StoreAnswer.Absent absent -> Either.right(PublishedConfig.NONE);
            case StoreAnswer.Found found ->
                    codec.decodeHead(found.object().value())
                            .<StoreProblem>mapLeft(StoreProblem.Damaged::new)
                            .map(
                                    head ->
                                            new PublishedConfig(
                                                    found.object().version(), head, List.of()));
            default -> Either.left(problem(ConfigHead.KEY, answer));
        };
    }

    private Either<StoreProblem, Map<String, String>> readParts() {
        StoreAnswer answer = store.read(new StoreRequest.ListPrefix(ConfigHead.PART_PREFIX));
        if (!(answer instanceof StoreAnswer.Listed listed)) {
            return Either.left(problem(ConfigHead.PART_PREFIX, answer));
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

    private Either<StoreProblem, PublishedConfig> withObjects(
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

    static StoreProblem problem(String key, StoreAnswer answer) {
        return answer instanceof StoreAnswer.Failed(StoreFailure reason)
                ? new StoreProblem.Unavailable(key, reason)
                : new StoreProblem.UnexpectedAnswer(key, answer.getClass().getSimpleName());
    }
}
