package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a malformed time that ends a call, or that is taken for a cold period. */
class ColdTimeHeaderTest {
    private static final HttpString NAME = new HttpString("Cold-For");

    @ParameterizedTest
    @CsvSource({
        "2875, 2875",
        "' 12 ', 12",
        "0.4, 1",
        "0, 0",
        "-5, 0",
        "'', 0",
        "soon, 0",
        "NaN, 0",
        "1e300, 600000",
        "99999999999999999999, 600000",
        "Infinity, 600000",
    })
    void readsTheTime(String value, long millis) {
        HeaderMap headers = new HeaderMap().put(NAME, value);
        assertThat(ColdTimeHeader.read(NAME, headers)).isEqualTo(millis);
    }

    @Test
    void absentFieldSaysNothing() {
        assertThat(ColdTimeHeader.read(NAME, new HeaderMap())).isZero();
        assertThat(ColdTimeHeader.read(null, new HeaderMap().put(NAME, "5"))).isZero();
    }
}
