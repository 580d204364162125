package org.fuchsiaspindle.daemon.fleet;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Collection;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.InstanceListShare;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.proto.SharedInstance;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Converts listed instances to protocol messages and back. */
final class InstanceMessages {

    private static final Logger LOG = LoggerFactory.getLogger(InstanceMessages.class);

    private InstanceMessages() {}

    static Frame share(Collection<ListedInstance> instances) {
        InstanceListShare.Builder share = InstanceListShare.newBuilder();
        instances.forEach(instance -> share.addInstances(encode(instance)));
        return Frame.newBuilder().setInstanceListShare(share).build();
    }

    private static SharedInstance encode(ListedInstance instance) {
        return SharedInstance.newBuilder()
                .setId(instance.id())
                .setRole(
                        instance.role() == ListedInstance.Role.ENTRY
                                ? Role.ROLE_ENTRY
                                : Role.ROLE_AGENT)
                .setHost(instance.address().getAddress().getHostAddress())
                .setPort(instance.address().getPort())
                .setDataCentre(instance.dataCentre())
                .setRegion(instance.region())
                .setLeaving(instance.leaving())
                .setTargetKind(
                        switch (instance.targetKind()) {
                            case NONE -> SharedInstance.TargetKind.TARGET_KIND_NONE;
                            case ENGINE -> SharedInstance.TargetKind.TARGET_KIND_ENGINE;
                            case SERVICE -> SharedInstance.TargetKind.TARGET_KIND_SERVICE;
                        })
                .setTargetName(instance.targetName())
                .build();
    }

    /** Returns the instances of a message; those that are not valid are logged and left out. */
    static ImmutableList<ListedInstance> decode(InstanceListShare share) {
        ImmutableList.Builder<ListedInstance> instances = ImmutableList.builder();
        for (SharedInstance instance : share.getInstancesList()) {
            try {
                instances.add(decode(instance));
            } catch (UnknownHostException | RuntimeException invalid) {
                LOG.warn(
                        "member: instance of a peer ignored instance={} reason=\"{}\"",
                        instance.getId(),
                        invalid.getMessage());
            }
        }
        return instances.build();
    }

    private static ListedInstance decode(SharedInstance instance) throws UnknownHostException {
        return new ListedInstance(
                instance.getId(),
                instance.getRole() == Role.ROLE_ENTRY
                        ? ListedInstance.Role.ENTRY
                        : ListedInstance.Role.AGENT,
                new InetSocketAddress(
                        InetAddress.getByName(instance.getHost()), instance.getPort()),
                instance.getDataCentre(),
                instance.getRegion(),
                instance.getLeaving(),
                switch (instance.getTargetKind()) {
                    case TARGET_KIND_ENGINE -> ListedInstance.TargetKind.ENGINE;
                    case TARGET_KIND_SERVICE -> ListedInstance.TargetKind.SERVICE;
                    case TARGET_KIND_NONE, UNRECOGNIZED -> ListedInstance.TargetKind.NONE;
                },
                instance.getTargetName());
    }
}
