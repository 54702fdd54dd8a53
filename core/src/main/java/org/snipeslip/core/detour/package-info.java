/**
 * Links to the backend servers: whether this instance has lost them, and which other instances can
 * send calls for it meanwhile.
 */
package org.snipeslip.core.detour;
