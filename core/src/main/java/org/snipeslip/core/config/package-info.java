/** Configuration objects and the validation of a set of them. */
package org.snipeslip.core.config;
