/** HTTP/1.1 proxying: the caller port, relaying of calls, and connections to backend servers. */
package org.snipeslip.server.http;
