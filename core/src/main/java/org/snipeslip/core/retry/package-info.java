/** Budgets and rules of retries and hedges. */
package org.snipeslip.core.retry;
