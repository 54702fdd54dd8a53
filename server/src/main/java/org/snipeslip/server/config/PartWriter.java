package org.snipeslip.server.config;

import java.util.Optional;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/**
 * Writes parts. A part that exists but is not referenced by the head is rewritten with the same
 * text, because its new version makes a pending deletion by an earlier publication fail.
 */
final class PartWriter {
    private final RetryingStore store;

    PartWriter(RetryingStore store) {
        this.store = store;
    }

    /**
     * Creates or rewrites a part, so that its version is newer than any listed for deletion.
     *
     * @return empty on success, otherwise the problem
     */
    Optional<StoreProblem> ensure(ConfigPart part) {
        String key = ConfigHead.PART_PREFIX + part.digest();
        StoreAnswer answer = new StoreAnswer.Conflict();
        for (int tries = 1; tries <= RetryingStore.MAX_TRIES; tries++) {
            answer = store.callOnce(new StoreRequest.Create(key, part.text()));
            if (answer instanceof StoreAnswer.Conflict) {
                answer = rewrite(key, part.text());
            }
            if (answer instanceof StoreAnswer.Written) {
                return Optional.empty();
            }
            if (answer.equals(new StoreAnswer.Failed(StoreFailure.TOO_LARGE))) {
                break;
            }
            store.pause(tries);
        }
        return Optional.of(PublishedReader.toProblem(key, answer));
    }

    private StoreAnswer rewrite(String key, String text) {
        StoreAnswer read = store.callOnce(new StoreRequest.Read(key));
        return read instanceof StoreAnswer.Found found
                ? store.callOnce(new StoreRequest.Update(key, text, found.object().version()))
                : read;
    }
}
