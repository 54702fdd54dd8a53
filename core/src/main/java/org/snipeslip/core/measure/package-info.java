/** The measurement budget and the choice of backend servers to probe. */
package org.snipeslip.core.measure;
