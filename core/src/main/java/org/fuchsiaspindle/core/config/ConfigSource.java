package org.fuchsiaspindle.core.config;

/** Provides the configuration in force in this process. Thread-safe; never blocks. */
public interface ConfigSource {

    /** Returns the newest snapshot; its version never decreases. */
    ConfigSnapshot current();

    /** Returns a source that always returns the same snapshot. */
    static ConfigSource fixed(ConfigSnapshot snapshot) {
        return () -> snapshot;
    }
}
