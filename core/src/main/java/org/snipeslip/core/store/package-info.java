/** Object API requests and answers as values. */
package org.snipeslip.core.store;
