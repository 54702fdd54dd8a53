package org.snipeslip.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintStream;
import java.util.function.IntConsumer;

/**
 * What a command needs from its surroundings.
 *
 * @param out takes results
 * @param err takes messages
 * @param pause waits before a repeated object API call; gets the number of tries so far
 */
record Console(PrintStream out, PrintStream err, IntConsumer pause) {
    void message(String text) {
        err.println("snipeslip: " + text);
    }

    void json(Object value) {
        try {
            out.println(
                    new ObjectMapper()
                            .enable(SerializationFeature.INDENT_OUTPUT)
                            .writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("results are trees of plain values", e);
        }
    }
}
