package org.fuchsiaspindle.gateway.telemetry;

import java.util.Locale;

/** Why a request was refused for its key. */
public enum KeyRejection {
    /** The request carries no key, or several. */
    MISSING,
    /** No workspace in the configuration in force holds the key. */
    UNKNOWN,
    /** The key was accepted when the request arrived, and was taken away while it waited. */
    TAKEN_AWAY;

    /** Returns the value of the metric's label. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
