/** Messages between instances as immutable values, independent of their encoding. */
package org.snipeslip.core.peer;
