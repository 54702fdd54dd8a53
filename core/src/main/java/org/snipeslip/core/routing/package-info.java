/** Matching a call to a route and the home-region filter. */
package org.snipeslip.core.routing;
