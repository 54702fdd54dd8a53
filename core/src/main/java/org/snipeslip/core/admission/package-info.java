/** Concurrency limits and the bounded queue of a service, with call classes and fair shares. */
package org.snipeslip.core.admission;
