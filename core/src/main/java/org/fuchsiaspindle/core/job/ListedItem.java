package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An item that has its final result. Its position in the list is the position of the result.
 *
 * @param item the index of the item in the submission, from 0
 * @param itemId the identifier of the item, not null
 * @param completed whether it was completed; otherwise it was abandoned
 * @param chunks the number of rows that hold its result text
 */
public record ListedItem(int item, String itemId, boolean completed, int chunks) {

    /** Validates the components. */
    public ListedItem {
        checkArgument(item >= 0, "negative item: %s", item);
        checkNotNull(itemId, "itemId");
        checkArgument(chunks >= 0, "negative chunks: %s", chunks);
    }
}
