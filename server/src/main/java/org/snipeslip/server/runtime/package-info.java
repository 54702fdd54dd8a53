/** The process around the state machine. */
package org.snipeslip.server.runtime;
