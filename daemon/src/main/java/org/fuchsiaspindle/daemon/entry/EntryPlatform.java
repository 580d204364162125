package org.fuchsiaspindle.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.instance.InstanceList;
import org.fuchsiaspindle.platform.instance.StoreInstances;
import org.fuchsiaspindle.platform.object.ObjectStore;
import org.fuchsiaspindle.platform.object.StoreObjects;
import org.fuchsiaspindle.platform.store.BlockingStore;
import org.fuchsiaspindle.platform.table.StoreTable;
import org.fuchsiaspindle.platform.table.TableService;

/**
 * The external services that an entry depends on.
 *
 * @param table the table service
 * @param objects the object store
 * @param instances the instance list
 * @param clock the clock
 */
public record EntryPlatform(
        TableService table, ObjectStore objects, InstanceList instances, Clock clock) {

    /** Validates the components. */
    public EntryPlatform {
        checkNotNull(table, "table");
        checkNotNull(objects, "objects");
        checkNotNull(instances, "instances");
        checkNotNull(clock, "clock");
    }

    /** Returns the services that are backed by the platform's store. */
    static EntryPlatform on(BlockingStore store) {
        return new EntryPlatform(
                StoreTable.on(store),
                StoreObjects.on(store),
                StoreInstances.on(store),
                Clock.system());
    }
}
