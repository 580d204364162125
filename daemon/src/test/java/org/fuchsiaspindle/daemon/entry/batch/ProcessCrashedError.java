package org.fuchsiaspindle.daemon.entry.batch;

/** Unwinds the stack of a crashed entry; an error, so that no handler of the product catches it. */
final class ProcessCrashedError extends Error {

    ProcessCrashedError() {
        super("simulated process crash");
    }
}
