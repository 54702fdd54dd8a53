package org.snipeslip.core.id;

/**
 * Names one try of a call: an attempt at one backend server.
 *
 * @param request the call
 * @param number counts the tries of the call from 1
 */
public record TryId(RequestId request, int number) {
    @Override
    public String toString() {
        return request + "#" + number;
    }
}
