/** The state machine of an instance, which maps events to actions without I/O. */
package org.snipeslip.core.instance;
