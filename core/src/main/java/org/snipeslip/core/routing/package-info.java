/** Route matching, traffic splits and the home regions of calls. */
package org.snipeslip.core.routing;
