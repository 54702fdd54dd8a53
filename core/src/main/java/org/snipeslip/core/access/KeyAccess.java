package org.snipeslip.core.access;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.ApiKeyDigest;
import org.snipeslip.core.id.OrganisationId;

/**
 * Decides to which organisation a caller belongs, by its API key and one configuration. Keys are
 * required as soon as there is an organisation, also if all its keys have been removed. Immutable.
 */
public final class KeyAccess {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The instance that has told of a proof may have been frozen as this one. */
    private static final long UNSEEN_FREEZE_NANOS = 2 * FreezeDetector.MAX_UNSEEN_NANOS;

    private final AccessSettings settings;
    private final long version;
    private final Map<OrganisationId, Organisation> organisations;
    private final Map<ApiKeyDigest, Organisation> organisationsByKey;

    /**
     * Creates the decisions by a configuration, whose later changes are not followed.
     *
     * @param settings how fresh the configuration must be
     * @param config the configuration with the organisations
     * @param version its version, as {@link ProofSource} knows it
     */
    public KeyAccess(AccessSettings settings, ConfigSet config, long version) {
        this.version = version;
        this.settings = settings;
        this.organisations = config.organisations();
        this.organisationsByKey = new HashMap<>();
        // All instances must give a key that two organisations have to the same one.
        for (Organisation organisation : new TreeMap<>(organisations).values()) {
            organisation.keys().forEach(key -> organisationsByKey.putIfAbsent(key, organisation));
        }
    }

    /**
     * Decides about a caller's call.
     *
     * @param route route of the call
     * @param key digest of its key, or null if it has none
     * @param proof tells since when the configuration is the newest one
     * @param nowNanos the current time, after the arrival of the call
     * @return the decision
     */
    public KeyDecision decide(Route route, ApiKeyDigest key, ProofSource proof, long nowNanos) {
        return decide(route, key == null ? null : organisationsByKey.get(key), proof, nowNanos);
    }

    /**
     * Decides about a call that another instance has passed, which has checked the key.
     *
     * @param route route of the call
     * @param name name of the organisation that the other instance states, or null
     * @param proof tells since when the configuration is the newest one
     * @param nowNanos the current time, after the arrival of the call
     * @return the decision
     */
    public KeyDecision decidePassed(
            Route route, OrganisationId name, ProofSource proof, long nowNanos) {
        return decide(route, name == null ? null : organisations.get(name), proof, nowNanos);
    }

    private KeyDecision decide(
            Route route, Organisation organisation, ProofSource proof, long nowNanos) {
        if (organisations.isEmpty() || (route.allowsAnonymous() && organisation == null)) {
            return new KeyDecision.Allowed(null);
        }
        if (organisation == null) {
            // A newer configuration may have the key, or open the route to anonymous callers.
            return isFresh(settings.maxRefusalAgeMillis(), proof, nowNanos)
                    ? new KeyDecision.UnknownKey()
                    : new KeyDecision.NotFresh();
        }
        boolean mayRun =
                route.allowsAnonymous() || isFresh(settings.maxProofAgeMillis(), proof, nowNanos);
        return mayRun ? new KeyDecision.Allowed(organisation) : new KeyDecision.NotFresh();
    }

    private boolean isFresh(long maxAgeMillis, ProofSource proof, long nowNanos) {
        if (maxAgeMillis == 0) {
            return true;
        }
        long maxAgeNanos = maxAgeMillis * NANOS_PER_MILLI - UNSEEN_FREEZE_NANOS;
        long provenAtNanos = proof.provenAtNanos(version);
        return provenAtNanos != ProofSource.NONE && nowNanos - provenAtNanos <= maxAgeNanos;
    }
}
