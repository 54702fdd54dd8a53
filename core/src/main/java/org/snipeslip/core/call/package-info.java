/** Handling of calls: admission, backend server selection, tries, retries, hedges and refusals. */
package org.snipeslip.core.call;
