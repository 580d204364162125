package org.fuchsiaspindle.cli;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Strings;
import java.util.ArrayList;
import java.util.List;

/** A text table with aligned columns. Not thread-safe. */
final class TextTable {

    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();
    private final int columns;

    TextTable(String... titles) {
        columns = titles.length;
        rows.add(List.of(titles));
    }

    void add(String... cells) {
        checkArgument(
                cells.length == columns, "row has %s cells, expected %s", cells.length, columns);
        rows.add(List.of(cells));
    }

    /** Returns the table as lines without trailing spaces, starting with the column titles. */
    String render() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                line.append(Strings.padEnd(row.get(i), width(i), ' ')).append(COLUMN_SEPARATOR);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
