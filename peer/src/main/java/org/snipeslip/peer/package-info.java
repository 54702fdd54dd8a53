/** TCP transport and protobuf encoding of the messages between instances. */
package org.snipeslip.peer;
