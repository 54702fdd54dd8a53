import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The record of a case, and whether its disruption is switched on. */
final class CaseRecord implements AutoCloseable {
    private final Path file;
    private final List<String> lines = new ArrayList<>();
    private final long startNanos = System.nanoTime();

    CaseRecord(Path folder) {
        file = folder.resolve("record.txt");
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    synchronized void add(String format, Object... values) {
        lines.add(
                "%8.3f s  %s"
                        .formatted(
                                (System.nanoTime() - startNanos) / 1e9, format.formatted(values)));
    }

    /** Adds a line that is also printed. */
    synchronized void result(String format, Object... values) {
        add(format, values);
        System.out.println(format.formatted(values));
    }

    @Override
    public synchronized void close() throws IOException {
        Files.write(file, lines);
    }
}
