package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.ratelimit.RateLimit;

/** Guards against a rate limit that is missed, or that a malformed value sets or lifts. */
class RateLimitHeaderTest {
    private static final HttpString NAME = new HttpString("Limit");

    @ParameterizedTest
    @CsvSource({"2.4, 2.4", "7, 7", "' 0.05 ', 0.05", "0, 0", "1e3, 1000", ".5, 0.5"})
    void decimalNumberIsTheLimit(String value, double callsPerSecond) {
        assertThat(read(value)).isEqualTo(new RateLimit.CallsPerSecond(callsPerSecond));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "-1",
                "NaN",
                "Infinity",
                "1e999",
                "2,4",
                "2.4/s",
                "0x10",
                "1e999999999",
                "111111111111111111111111111111111111111111"
            })
    void malformedValueSaysNothing(String value) {
        assertThat(read(value)).isEqualTo(RateLimit.UNKNOWN);
    }

    @Test
    void missingFieldMeansNoLimit() {
        assertThat(RateLimitHeader.read(NAME, new HeaderMap())).isEqualTo(RateLimit.UNLIMITED);
        assertThat(RateLimitHeader.read(null, new HeaderMap())).isEqualTo(RateLimit.UNKNOWN);
    }

    private static RateLimit read(String value) {
        return RateLimitHeader.read(NAME, new HeaderMap().put(NAME, value));
    }
}
