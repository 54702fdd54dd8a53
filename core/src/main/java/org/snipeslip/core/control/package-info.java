/** The control engine: membership, and adoption and distribution of the configuration. */
package org.snipeslip.core.control;
