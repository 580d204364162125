package org.fuchsiaspindle.daemon.entry.batch;

/**
 * Thrown to unwind the stack of a crashed entry. It is an error, so that no handler in the code
 * under test catches it.
 */
final class ProcessCrashedError extends Error {

    ProcessCrashedError() {
        super("simulated process crash");
    }
}
