/** Concurrency limits of backend servers that are cold. */
package org.snipeslip.core.warmup;
