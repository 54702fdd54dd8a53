/** The budget of load probes and the selection of backend servers to probe. */
package org.snipeslip.core.probe;
