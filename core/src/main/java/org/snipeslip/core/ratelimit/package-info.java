/** Rates of calls that backend servers accept from all instances together. */
package org.snipeslip.core.ratelimit;
