/** Concurrency limits and call rates of cold backend servers. */
package org.snipeslip.core.warmup;
