/** Logging: the log lines of calls and decisions, recent decisions, and the JSON configuration. */
package org.snipeslip.server.log;
