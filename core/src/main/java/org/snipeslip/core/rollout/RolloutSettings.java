package org.snipeslip.core.rollout;

/**
 * How far a new version of a service may be exposed to calls before it is known to be good.
 *
 * @param exposeShare largest part of the calls of the service that a bad version may get
 * @param exposeSlack calls that it may get in addition
 * @param rollbackMillis time after enough bad responses within which it must get no more calls
 */
public record RolloutSettings(double exposeShare, double exposeSlack, long rollbackMillis) {}
