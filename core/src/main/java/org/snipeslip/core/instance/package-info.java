/** The instance-level state machine: events in, actions out. */
package org.snipeslip.core.instance;
