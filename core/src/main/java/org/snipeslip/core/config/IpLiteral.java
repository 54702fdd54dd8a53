package org.snipeslip.core.config;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses literal IP addresses, without name resolution. */
final class IpLiteral {
    /**
     * Four decimal octets. InetAddress also accepts shortened forms such as "127.1", which other
     * tools interpret differently.
     */
    private static final Pattern IPV4 =
            Pattern.compile("(?:(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(?:\\.(?!$)|$)){4}");

    private IpLiteral() {}

    /**
     * Returns the canonical form of a unicast address.
     *
     * @param text IPv4 address or IPv6 address without scope
     * @return the canonical form, or empty if the text is not a unicast IP address
     */
    static Optional<String> canonical(String text) {
        try {
            if (IPV4.matcher(text).matches()) {
                return unicast(InetAddress.ofLiteral(text));
            }
            if (text.contains(":") && text.indexOf('%') < 0 && text.indexOf('[') < 0) {
                return unicast(Inet6Address.ofLiteral(text));
            }
            return Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<String> unicast(InetAddress address) {
        if (address.isAnyLocalAddress() || address.isMulticastAddress()) {
            return Optional.empty();
        }
        return Optional.of(address.getHostAddress());
    }
}
