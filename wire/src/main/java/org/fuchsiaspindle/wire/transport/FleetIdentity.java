package org.fuchsiaspindle.wire.transport;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;
import org.fuchsiaspindle.wire.proto.Hello;

/**
 * Identity that a process presents to its peers, and the secret that authenticates it as a member
 * of the fleet.
 *
 * <p>Immutable. The secret never appears in {@link #toString}.
 */
public final class FleetIdentity {

    /** Oldest protocol version that this build supports. */
    public static final int MIN_VERSION = 1;

    /** Newest protocol version that this build supports. */
    public static final int MAX_VERSION = 1;

    private static final int MIN_SECRET_CHARS = 16;

    private final Peer self;
    private final byte[] secret;

    private FleetIdentity(Peer self, byte[] secret) {
        this.self = self;
        this.secret = secret;
    }

    /**
     * Creates an identity.
     *
     * @param self this process as others see it, not null
     * @param secret the fleet secret
     * @throws IllegalArgumentException if the secret has fewer than 16 characters
     */
    public static FleetIdentity of(Peer self, String secret) {
        checkArgument(
                secret.length() >= MIN_SECRET_CHARS,
                "fleet secret has %s characters, fewer than %s",
                secret.length(),
                MIN_SECRET_CHARS);
        return new FleetIdentity(
                checkNotNull(self, "self"), secret.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns this process as others see it. */
    public Peer self() {
        return self;
    }

    byte[] secret() {
        return secret;
    }

    Hello hello(byte[] nonce) {
        return Hello.newBuilder()
                .setMinVersion(MIN_VERSION)
                .setMaxVersion(MAX_VERSION)
                .setInstanceId(self.instanceId())
                .setIncarnation(self.incarnation())
                .setRole(self.role())
                .setDataCentre(self.dataCentre())
                .setTargetName(self.targetName())
                .setNonce(com.google.protobuf.ByteString.copyFrom(nonce))
                .build();
    }

    @Override
    public String toString() {
        return "FleetIdentity[" + self + "]";
    }
}
