package org.snipeslip.core.id;

/**
 * Identifier of one try of a call: one attempt to have a backend server process it.
 *
 * @param request the call
 * @param number number of the try within the call, from 1
 */
public record TryId(RequestId request, int number) {
    @Override
    public String toString() {
        return request + "#" + number;
    }
}
