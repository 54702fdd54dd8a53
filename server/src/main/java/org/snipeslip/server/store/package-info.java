/** The HTTP client of the object API. */
package org.snipeslip.server.store;
