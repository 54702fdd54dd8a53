/** Load data of backend servers as seen by one instance, with the age of the reports. */
package org.snipeslip.core.load;
