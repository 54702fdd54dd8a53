/** The fleet as a discovery service tells it: configuration, backend servers, evacuations. */
package org.snipeslip.core.discovery;
