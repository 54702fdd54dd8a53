/** Settings of a process. */
package org.snipeslip.server.settings;
