package org.snipeslip.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintStream;
import java.util.function.IntConsumer;

/**
 * Output streams and retry delay of a command; tests supply their own.
 *
 * @param out receives results
 * @param err receives diagnostic messages
 * @param retryBackoff waits before an object API call is retried; receives the number of attempts
 *     so far
 */
record Console(PrintStream out, PrintStream err, IntConsumer retryBackoff) {
    void printMessage(String text) {
        err.println("snipeslip: " + text);
    }

    void printJson(Object value) {
        try {
            out.println(
                    new ObjectMapper()
                            .enable(SerializationFeature.INDENT_OUTPUT)
                            .writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("command result cannot be serialized as JSON", e);
        }
    }
}
