/** HTTP towards callers and backend servers. */
package org.snipeslip.server.http;
