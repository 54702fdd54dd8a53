/** Reading and validation of the settings of a process. */
package org.snipeslip.server.settings;
