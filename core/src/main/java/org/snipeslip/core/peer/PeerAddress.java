package org.snipeslip.core.peer;

/**
 * Address at which an instance listens for its peers.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
