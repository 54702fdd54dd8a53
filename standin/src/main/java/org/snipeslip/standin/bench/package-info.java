/** Measurements on live entry instances and stand-ins. */
package org.snipeslip.standin.bench;
