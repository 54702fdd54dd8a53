/** Stored form of configuration objects. */
package org.snipeslip.server.config;
