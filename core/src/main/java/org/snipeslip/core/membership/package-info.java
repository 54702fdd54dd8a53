/** Membership of instances: failure detection, and the view of the members that are not dead. */
package org.snipeslip.core.membership;
