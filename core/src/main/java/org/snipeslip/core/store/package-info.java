/** Requests and answers of the object API, and the limits on an instance's calls. */
package org.snipeslip.core.store;
