package org.snipeslip.server.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.id.FailureDomainId;

/**
 * Takes a failure domain out of service or returns it to service. After a conflict with another
 * publication, the configuration is read again and the change is repeated. Only one field changes,
 * so no change of the other publication is lost.
 */
public final class FailureDomainSwitch {
    private static final int MAX_ATTEMPTS = 10;

    private final PublishedReader reader;
    private final Publisher publisher;

    /**
     * Creates a switch.
     *
     * @param reader reads the configuration in force
     * @param publisher publishes the changed configuration
     */
    public FailureDomainSwitch(PublishedReader reader, Publisher publisher) {
        this.reader = reader;
        this.publisher = publisher;
    }

    /**
     * Publishes whether a failure domain is in service. Blocks until the publication has ended.
     *
     * @param id the failure domain
     * @param inService whether the failure domain receives new calls
     * @return the result of the publication; empty if the failure domain does not exist
     */
    public Optional<PublishResult> setInService(FailureDomainId id, boolean inService) {
        Optional<PublishResult> result = setOnce(id, inService);
        for (int attempt = 1; attempt < MAX_ATTEMPTS && isConflict(result); attempt++) {
            result = setOnce(id, inService);
        }
        return result;
    }

    private static boolean isConflict(Optional<PublishResult> result) {
        // The generation that superseded this one may or may not contain the change.
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
