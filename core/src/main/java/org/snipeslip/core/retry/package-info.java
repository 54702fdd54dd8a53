/** Rules and budgets for retries and hedges. */
package org.snipeslip.core.retry;
