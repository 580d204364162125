package org.fuchsiaspindle.cli;

/** Exit codes of the command line, documented in {@code docs/cli.md}. */
public final class ExitCodes {

    /** The command succeeded. */
    public static final int OK = 0;

    /** The system refused the request. */
    public static final int REFUSED = 1;

    /** The command line or a file that it names is not valid. */
    public static final int USAGE = 2;

    /** No entry responds at the URL. */
    public static final int UNREACHABLE = 3;

    /** The change conflicts with another one. */
    public static final int CONFLICT = 4;

    /** The change was accepted, but was not in force in every live process within the wait time. */
    public static final int NOT_IN_FORCE = 5;

    private ExitCodes() {}
}
