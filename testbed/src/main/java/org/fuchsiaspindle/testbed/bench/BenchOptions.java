package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Options that all experiments share. */
public final class BenchOptions {

    @Option(names = "--json", description = "File to write the figures to, as JSON.")
    private Path json;

    @Option(names = "--seed", defaultValue = "1", description = "Random seed (default: 1).")
    private long seed;

    @Option(names = "--quick", description = "Run for a shorter time with fewer repetitions.")
    private boolean quick;

    /** Returns the random seed of the load and the faults. */
    public long seed() {
        return seed;
    }

    /** Returns true if a shorter run was requested. */
    public boolean quick() {
        return quick;
    }

    /**
     * Prints the figures and writes them to the JSON file, if one was specified; returns the exit
     * code.
     */
    public int report(Figures figures) throws IOException {
        figures.print(System.out);
        if (json != null) {
            figures.write(json);
        }
        return 0;
    }
}
