package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Options that all experiments share. */
public final class BenchOptions {

    @Option(names = "--json", description = "File that receives the figures as JSON.")
    private Path json;

    @Option(names = "--seed", defaultValue = "1", description = "Seed (default: 1).")
    private long seed;

    @Option(names = "--quick", description = "Shorter run with fewer repetitions.")
    private boolean quick;

    /** Returns the seed of the random load and faults. */
    public long seed() {
        return seed;
    }

    /** Returns true if a shorter run was requested. */
    public boolean quick() {
        return quick;
    }

    /**
     * Prints the figures and writes them to the JSON file if one was given; returns the exit code.
     */
    public int report(Figures figures) throws IOException {
        figures.print(System.out);
        if (json != null) {
            figures.write(json);
        }
        return 0;
    }
}
