/** Executes calls with an idempotency key at most once. */
package org.snipeslip.core.idempotency;
