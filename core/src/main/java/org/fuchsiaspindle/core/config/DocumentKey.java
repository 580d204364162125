package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;

/**
 * Identifies a document.
 *
 * @param kind its kind
 * @param name its name within the kind
 */
public record DocumentKey(DocumentKind kind, String name) implements Comparable<DocumentKey> {

    private static final Comparator<DocumentKey> ORDER =
            Comparator.comparing(DocumentKey::kind).thenComparing(DocumentKey::name);

    /** Validates the components. */
    public DocumentKey {
        checkNotNull(kind, "kind");
        checkNotNull(name, "name");
    }

    @Override
    public int compareTo(DocumentKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.wireName() + "/" + name;
    }
}
