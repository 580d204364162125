package org.fuchsiaspindle.wire.transport;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.fuchsiaspindle.wire.proto.Hello;

/** Computes and verifies the proof that a process knows the fleet secret. */
final class HandshakeProof {

    private static final String ALGORITHM = "HmacSHA256";

    /**
     * The side that creates a proof.
     *
     * <p>It is part of the MAC input, so that a proof cannot be reflected to its sender. The names
     * of the constants are hashed: renaming one breaks the protocol.
     */
    enum Side {
        DIALLER,
        ACCEPTER
    }

    private HandshakeProof() {}

    static ByteString compute(
            byte[] secret, Side side, int version, Hello dialler, Hello accepter) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            mac.update((side + "/" + version + "/").getBytes(StandardCharsets.UTF_8));
            mac.update(dialler.toByteArray());
            mac.update(accepter.toByteArray());
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the JDK has no " + ALGORITHM, e);
        }
    }

    /** Compares two proofs in constant time. */
    static boolean matches(ByteString expected, ByteString actual) {
        return MessageDigest.isEqual(expected.toByteArray(), actual.toByteArray());
    }
}
