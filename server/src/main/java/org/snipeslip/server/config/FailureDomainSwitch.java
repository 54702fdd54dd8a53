package org.snipeslip.server.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.id.FailureDomainId;

/**
 * Takes a failure domain out of service or back. After a conflict it reads again and repeats the
 * change: only this one field changes, so nothing of the other publication is lost.
 */
public final class FailureDomainSwitch {
    private static final int MAX_CONFLICTS = 10;

    private final PublishedReader reader;
    private final Publisher publisher;

    /**
     * Creates a switch.
     *
     * @param reader reads the configuration in force
     * @param publisher writes the changed one
     */
    public FailureDomainSwitch(PublishedReader reader, Publisher publisher) {
        this.reader = reader;
        this.publisher = publisher;
    }

    /**
     * Sets whether a failure domain is in service.
     *
     * @param id the failure domain
     * @param inService whether it gets new work
     * @return how it ended; empty if there is no such failure domain
     */
    public Optional<PublishResult> setInService(FailureDomainId id, boolean inService) {
        Optional<PublishResult> result = setOnce(id, inService);
        for (int i = 1; i < MAX_CONFLICTS && isConflict(result); i++) {
            result = setOnce(id, inService);
        }
        return result;
    }

    private static boolean isConflict(Optional<PublishResult> result) {
        // After a lost answer the later generation may or may not contain the change.
        return result.isPresent()
                && (result.get() instanceof PublishResult.Conflicted
                        || result.get() instanceof PublishResult.Superseded);
    }

    private Optional<PublishResult> setOnce(FailureDomainId id, boolean inService) {
        Either<StoreProblem, PublishedConfig> base = reader.read();
        if (base.isLeft()) {
            return Optional.of(new PublishResult.Failed(base.getLeft()));
        }
        List<ConfigObject> objects = new ArrayList<>();
        boolean found = false;
        for (ConfigObject object : base.get().objects()) {
            if (object instanceof FailureDomain domain && domain.id().equals(id)) {
                objects.add(domain.withInService(inService));
                found = true;
            } else {
                objects.add(object);
            }
        }
        return found ? Optional.of(publisher.publish(base.get(), objects)) : Optional.empty();
    }
}
