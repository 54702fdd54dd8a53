/** At-most-once execution of calls with an idempotency key. */
package org.snipeslip.core.once;
