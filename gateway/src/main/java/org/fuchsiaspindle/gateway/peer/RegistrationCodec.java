package org.fuchsiaspindle.gateway.peer;

import com.google.common.net.HostAndPort;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.gateway.view.TargetDirectory;
import org.fuchsiaspindle.wire.peer.Registration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Encodes targets for messages between gateways and decodes them; invalid ones are logged and left
 * out.
 */
final class RegistrationCodec {

    private static final Logger LOG = LoggerFactory.getLogger(RegistrationCodec.class);

    private RegistrationCodec() {}

    static Registration encode(TargetInstance target) {
        return Registration.newBuilder()
                .setId(target.id())
                .setService(target.service())
                .setAddress(target.address().toString())
                .setDataCentre(target.dataCentre())
                .setSlots(target.slots())
                .setLeaving(target.leaving())
                .setStartedAtMillis(target.startedAtMillis())
                .build();
    }

    static TargetDirectory decode(long version, List<Registration> registrations) {
        Map<String, TargetInstance> targets = new HashMap<>();
        for (Registration registration : registrations) {
            try {
                targets.put(registration.getId(), decode(registration));
            } catch (IllegalArgumentException failure) {
                LOG.warn(
                        "peer: registration ignored target={} reason={}",
                        registration.getId(),
                        failure.getMessage());
            }
        }
        return TargetDirectory.of(version, targets);
    }

    private static TargetInstance decode(Registration registration) {
        return new TargetInstance(
                registration.getId(),
                registration.getService(),
                HostAndPort.fromString(registration.getAddress()),
                registration.getDataCentre(),
                registration.getSlots(),
                registration.getLeaving(),
                registration.getStartedAtMillis());
    }
}
