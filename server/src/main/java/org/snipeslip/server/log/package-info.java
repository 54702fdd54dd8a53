/** The decision log: JSON lines written off the request threads, and recent decisions. */
package org.snipeslip.server.log;
