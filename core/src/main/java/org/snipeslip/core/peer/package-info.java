/** Messages between instances as values. */
package org.snipeslip.core.peer;
