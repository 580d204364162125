package fuchsiareview2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Notes {

    private static PrintWriter out;
    private static final long START = System.nanoTime();

    private Notes() {}

    static void open(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    static synchronized void line(String format, Object... values) {
        double seconds = (System.nanoTime() - START) / 1e9;
        out.println(String.format(Locale.ROOT, "%8.3f ", seconds) + format(format, values));
    }

    private static String format(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
