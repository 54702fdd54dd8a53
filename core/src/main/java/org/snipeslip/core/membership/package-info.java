/** Membership of instances: failure detection and the view that others use. */
package org.snipeslip.core.membership;
