package org.fuchsiaspindle.core.document;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One error of a document.
 *
 * @param field path of the field, for example {@code online.burst}; empty for the whole document
 * @param problem what is wrong, with the offending value
 */
public record FieldError(String field, String problem) {

    /** Validates the components. */
    public FieldError {
        checkNotNull(field, "field");
        checkNotNull(problem, "problem");
    }

    @Override
    public String toString() {
        return field.isEmpty() ? problem : field + ": " + problem;
    }
}
