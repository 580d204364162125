package org.fuchsiaspindle.core.prompt;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A part of prompts that several requests to one service may share.
 *
 * @param service the service, not null
 * @param id the identifier of the part, not null
 */
public record PromptPart(String service, String id) {

    /** Validates the components. */
    public PromptPart {
        checkNotNull(service, "service");
        checkNotNull(id, "id");
    }
}
