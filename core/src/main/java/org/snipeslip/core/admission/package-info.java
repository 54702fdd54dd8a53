/** Concurrency limits, the bounded queue of a service, classes and fair shares. */
package org.snipeslip.core.admission;
