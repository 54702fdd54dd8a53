package org.snipeslip.core.config;

import org.snipeslip.core.id.ServiceId;

/**
 * The share of one service in a route whose calls are split between services.
 *
 * @param service the service
 * @param weight its share of the calls relative to the other services of the split; at least 0
 */
public record ServiceShare(ServiceId service, int weight) {}
