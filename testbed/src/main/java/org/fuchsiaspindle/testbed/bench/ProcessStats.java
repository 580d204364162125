package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Reads the memory and processor time of a process from {@code /proc}. */
final class ProcessStats {

    private static final double KIB_PER_MIB = 1024;

    /** Index of {@code utime} among the fields of {@code stat} that follow the command name. */
    private static final int USER_TICKS_FIELD = 11;

    /** Index of {@code stime} among the fields of {@code stat} that follow the command name. */
    private static final int SYSTEM_TICKS_FIELD = 12;

    private static final long TICKS_PER_SECOND = 100;

    private ProcessStats() {}

    /** Returns the resident memory of a process in MiB. */
    static double residentMib(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / KIB_PER_MIB;
            }
        }
        throw new IOException("no VmRSS in the status of process " + pid);
    }

    /** Returns the user and system processor time that a process has used, in nanoseconds. */
    static long cpuNanos(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TICKS_FIELD])
                        + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        return ticks * (TimeUnit.SECONDS.toNanos(1) / TICKS_PER_SECOND);
    }
}
