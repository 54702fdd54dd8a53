/** Load data of backend servers as one instance sees it, with its age. */
package org.snipeslip.core.load;
