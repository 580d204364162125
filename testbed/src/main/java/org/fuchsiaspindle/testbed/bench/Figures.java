package org.fuchsiaspindle.testbed.bench;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the figures of one experiment and compares them with their goals. Not thread-safe. */
public final class Figures {

    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final String experiment;
    private final List<String[]> rows = new ArrayList<>();
    private final Map<String, Double> values = new LinkedHashMap<>();
    private final List<String> missed = new ArrayList<>();

    private Figures(String experiment) {
        this.experiment = experiment;
    }

    /** Creates an empty collection for an experiment. */
    public static Figures of(String experiment) {
        return new Figures(experiment);
    }

    /** Adds a row to the printed table; the first row is the header. */
    public void row(Object... cells) {
        checkArgument(
                rows.isEmpty() || rows.getFirst().length == cells.length,
                "row has %s cells, expected %s",
                cells.length,
                rows.isEmpty() ? 0 : rows.getFirst().length);
        String[] texts = new String[cells.length];
        for (int i = 0; i < cells.length; i++) {
            texts[i] =
                    cells[i] instanceof Double d ? "%.3f".formatted(d) : String.valueOf(cells[i]);
        }
        rows.add(texts);
    }

    /** Adds a figure without a goal. */
    public void figure(String name, double value) {
        values.put(name, value);
    }

    /** Adds a figure with an upper bound as its goal. */
    public void atMost(String name, double value, double goal) {
        figure(name, value);
        if (!(value <= goal)) {
            missed.add("%s = %.3f, goal at most %.3f".formatted(name, value, goal));
        }
    }

    /** Adds a figure with a lower bound as its goal. */
    public void atLeast(String name, double value, double goal) {
        figure(name, value);
        if (!(value >= goal)) {
            missed.add("%s = %.3f, goal at least %.3f".formatted(name, value, goal));
        }
    }

    /** Returns the figures by name. */
    public Map<String, Double> values() {
        return Map.copyOf(values);
    }

    /** Prints the table, the figures and the missed goals. */
    public void print(PrintStream out) {
        out.println("experiment " + experiment);
        printTable(out);
        values.forEach((name, value) -> out.printf("%s %.3f%n", name, value));
        missed.forEach(miss -> out.println("MISSED " + miss));
        if (missed.isEmpty()) {
            out.println("all goals met");
        }
    }

    /** Writes the figures as JSON. */
    public void write(Path file) throws IOException {
        ObjectNode root = JSON.createObjectNode().put("experiment", experiment);
        ObjectNode figures = root.putObject("figures");
        values.forEach(figures::put);
        missed.forEach(root.putArray("missed")::add);
        JSON.writeValue(file.toFile(), root);
    }

    private void printTable(PrintStream out) {
        if (rows.isEmpty()) {
            return;
        }
        int[] widths = new int[rows.getFirst().length];
        for (String[] row : rows) {
            for (int i = 0; i < row.length; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        }
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.length; i++) {
                String format = i == 0 ? "%-" + widths[i] + "s" : "  %" + widths[i] + "s";
                line.append(format.formatted(row[i]));
            }
            out.println(line);
        }
    }
}
