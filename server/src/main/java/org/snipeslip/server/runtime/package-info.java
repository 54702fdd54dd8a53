/**
 * The processes of an entry instance: they connect the state machine to its ports, timers, stores
 * and peers.
 */
package org.snipeslip.server.runtime;
