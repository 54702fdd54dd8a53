/** Reading, encoding, comparing and publishing of configuration objects. */
package org.snipeslip.server.config;
