package org.fuchsiaspindle.daemon.fleet;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.Collection;
import org.fuchsiaspindle.platform.instance.InstanceRows;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.InstanceListShare;
import org.fuchsiaspindle.wire.proto.InstanceRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Converts listed instances to protocol messages and back. */
final class InstanceMessages {

    private static final Logger LOG = LoggerFactory.getLogger(InstanceMessages.class);

    private InstanceMessages() {}

    static Frame share(Collection<ListedInstance> instances) {
        InstanceListShare.Builder share = InstanceListShare.newBuilder();
        for (ListedInstance instance : instances) {
            share.addRows(
                    InstanceRow.newBuilder()
                            .setId(instance.id())
                            .setValue(ByteString.copyFrom(InstanceRows.encode(instance))));
        }
        return Frame.newBuilder().setInstanceListShare(share).build();
    }

    /** Returns the instances of a message; those that are not valid are logged and left out. */
    static ImmutableList<ListedInstance> decode(InstanceListShare share) {
        ImmutableList.Builder<ListedInstance> instances = ImmutableList.builder();
        for (InstanceRow row : share.getRowsList()) {
            try {
                instances.add(InstanceRows.decode(row.getId(), row.getValue().toByteArray()));
            } catch (IllegalArgumentException invalid) {
                LOG.warn(
                        "member: instance of a peer ignored instance={} reason=\"{}\"",
                        row.getId(),
                        invalid.getMessage());
            }
        }
        return instances.build();
    }
}
