/** Configuration objects and the check of a whole set. */
package org.snipeslip.core.config;
