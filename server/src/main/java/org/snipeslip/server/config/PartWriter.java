package org.snipeslip.server.config;

import java.util.Optional;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/**
 * Writes parts. A part that exists but is not named by the head is written again with the same
 * text: its new version makes the pending deletion by an earlier publication fail.
 */
final class PartWriter {
    private final RetryingStore store;

    PartWriter(RetryingStore store) {
        this.store = store;
    }

    /**
     * Makes a part exist with a version that no earlier publication has seen.
     *
     * @return empty if it does, or the problem
     */
    Optional<StoreProblem> ensure(ConfigPart part) {
        String key = ConfigHead.PART_PREFIX + part.digest();
        StoreAnswer answer = new StoreAnswer.Conflict();
        for (int tries = 1; tries <= RetryingStore.MAX_TRIES; tries++) {
            answer = store.once(new StoreRequest.Create(key, part.text()));
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
        return Optional.of(PublishedReader.problem(key, answer));
    }

    private StoreAnswer rewrite(String key, String text) {
        StoreAnswer read = store.once(new StoreRequest.Read(key));
        return read instanceof StoreAnswer.Found found
                ? store.once(new StoreRequest.Update(key, text, found.object().version()))
                : read;
    }
}
