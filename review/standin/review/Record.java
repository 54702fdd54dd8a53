package review;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with the time since its start. */
final class Record implements AutoCloseable {
    private final PrintStream out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), false);
    }

    synchronized void add(String format, Object... arguments) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        out.printf(
                Locale.ROOT, "%8.3f %s%n", seconds, String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
