package org.fuchsiaspindle.core.document;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Collectors;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/** Thrown if a document has invalid fields; lists all errors. */
public final class InvalidDocumentException extends FuchsiaspindleException {

    private final transient ImmutableList<FieldError> errors;

    /**
     * Creates the exception.
     *
     * @param errors the errors, at least one
     */
    public InvalidDocumentException(List<FieldError> errors) {
        super(
                ResultCode.INVALID_DOCUMENT,
                errors.stream().map(FieldError::toString).collect(Collectors.joining("; ")));
        this.errors = ImmutableList.copyOf(errors);
    }

    /** Returns all errors in the order in which they were found. */
    public ImmutableList<FieldError> errors() {
        return errors;
    }
}
