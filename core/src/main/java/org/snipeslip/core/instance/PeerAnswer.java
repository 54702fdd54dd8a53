package org.snipeslip.core.instance;

import java.util.List;
import org.snipeslip.core.discovery.DiscoveryResponse;

/**
 * The answer to the poll of another instance.
 *
 * @param response what the other instance is told
 * @param actions the actions to execute
 */
public record PeerAnswer(DiscoveryResponse response, List<Action> actions) {}
