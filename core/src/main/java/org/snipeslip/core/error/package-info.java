/** Faults of configurations, as reported to operators. */
package org.snipeslip.core.error;
