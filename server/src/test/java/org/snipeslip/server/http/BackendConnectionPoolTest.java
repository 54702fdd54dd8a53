package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;

/**
 * Guards against IPv6 backend servers that configuration validation accepts but calls cannot reach.
 */
class BackendConnectionPoolTest {
    @ParameterizedTest
    @CsvSource({"127.0.0.1, 127.0.0.1:8080", "::1, [::1]:8080"})
    void authorityBracketsIpv6Addresses(String host, String expected) {
        BackendServer server =
                new BackendServer(
                        new BackendServerId("b"),
                        host,
                        8080,
                        new FailureDomainId("d"),
                        1,
                        1,
                        false);
        assertThat(BackendConnectionPool.authority(server)).isEqualTo(expected);
    }
}
