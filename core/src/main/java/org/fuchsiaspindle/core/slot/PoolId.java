package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifies a pool: targets of one service in one data centre whose slots one gateway assigns.
 *
 * @param service the service, not null
 * @param dataCentre the data centre of the targets, not null
 * @param shard the number of the pool among those of the service in the data centre, not negative
 */
public record PoolId(String service, String dataCentre, int shard) {

    /** Validates the components. */
    public PoolId {
        checkNotNull(service, "service");
        checkNotNull(dataCentre, "dataCentre");
        checkArgument(shard >= 0, "negative shard: %s", shard);
    }

    @Override
    public String toString() {
        return service + "/" + dataCentre + "/" + shard;
    }
}
