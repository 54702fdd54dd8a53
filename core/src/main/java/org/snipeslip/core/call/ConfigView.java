package org.snipeslip.core.call;

import org.snipeslip.core.access.KeyAccess;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.routing.RouteTable;

/**
 * A configuration and what is derived from it, replaced atomically.
 *
 * @param access decides to which organisation a caller belongs, or null if callers name theirs
 */
record ConfigView(ConfigSet config, RouteTable routes, KeyAccess access, long version) {}
