/** Transport and codec of the messages between instances. */
package org.snipeslip.peer;
