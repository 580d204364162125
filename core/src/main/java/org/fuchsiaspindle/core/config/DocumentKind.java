package org.fuchsiaspindle.core.config;

import java.util.Locale;
import java.util.Optional;

/** Kind of a document in the config log. */
public enum DocumentKind {
    CONTRACT(false),
    MODEL(true),
    SERVICE(true),
    SETTINGS(true),
    /** Requests the drain of a target; named after the target's instance. */
    DRAIN(true);

    private final boolean concernsTargets;

    DocumentKind(boolean concernsTargets) {
        this.concernsTargets = concernsTargets;
    }

    /** Returns true if agents need documents of this kind. */
    public boolean concernsTargets() {
        return concernsTargets;
    }

    /** Returns the lower-case name that is used in messages and table rows. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the kind with a lower-case name, or empty if it is unknown, because a newer process
     * wrote it.
     */
    public static Optional<DocumentKind> ofWireName(String name) {
        for (DocumentKind kind : values()) {
            if (kind.wireName().equals(name)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
