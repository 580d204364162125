package org.fuchsiaspindle.daemon.entry;

/** A started component of an entry, which is closed when the process stops. */
@FunctionalInterface
interface Component extends AutoCloseable {

    /**
     * Closes the component. Called once, after the components that were started later are closed.
     */
    @Override
    void close();
}
