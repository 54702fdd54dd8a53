/** The object API over HTTP. */
package org.snipeslip.server.store;
