/** Adoption and spread of the configuration. */
package org.snipeslip.core.spread;
