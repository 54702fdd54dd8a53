/** Benchmarks of live entry instances against stand-ins. */
package org.snipeslip.standin.bench;
