/** Quotas of organisations, which hold for the sum of their calls over all instances. */
package org.snipeslip.core.quota;
