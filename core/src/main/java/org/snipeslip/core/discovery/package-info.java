/** Discovery of configuration, backend servers and evacuations from a store. */
package org.snipeslip.core.discovery;
