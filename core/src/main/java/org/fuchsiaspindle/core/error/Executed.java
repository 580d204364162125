package org.fuchsiaspindle.core.error;

import java.util.Locale;

/** Whether a refused or failed request ran. */
public enum Executed {
    /** The request certainly did not run. */
    NO,
    /** The request may have run. */
    UNKNOWN,
    /** The request ran. */
    YES;

    /** Returns the lower-case name that is used in error objects. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
