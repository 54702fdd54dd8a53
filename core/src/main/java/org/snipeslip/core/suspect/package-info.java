/**
 * Requests that crash the backend servers that run them: suspicion, verdict, and what instances
 * tell one another about it.
 */
package org.snipeslip.core.suspect;
