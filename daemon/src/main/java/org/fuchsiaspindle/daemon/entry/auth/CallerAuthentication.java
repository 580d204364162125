package org.fuchsiaspindle.daemon.entry.auth;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/** Authenticates callers and operators by their bearer keys. Thread-safe. */
public final class CallerAuthentication {

    private static final String SCHEME = "Bearer ";

    private final ConfigSource config;
    private final String bootstrapOperatorKey;

    private CallerAuthentication(ConfigSource config, String bootstrapOperatorKey) {
        this.config = config;
        this.bootstrapOperatorKey = bootstrapOperatorKey;
    }

    /**
     * Creates an authenticator.
     *
     * @param config the configuration in force
     * @param bootstrapOperatorKeySha256 digest of an operator key that is valid while the
     *     configuration holds none; empty for none
     */
    public static CallerAuthentication create(
            ConfigSource config, String bootstrapOperatorKeySha256) {
        return new CallerAuthentication(
                checkNotNull(config, "config"),
                checkNotNull(bootstrapOperatorKeySha256, "bootstrapOperatorKeySha256"));
    }

    /**
     * Returns the contract of the caller.
     *
     * @throws FuchsiaspindleException with {@code INVALID_KEY} if the key is missing or unknown
     */
    public Contract customer(HttpServerExchange exchange) {
        return config.current()
                .contractOfKey(digest(exchange))
                .orElseThrow(CallerAuthentication::invalidKey);
    }

    /**
     * Checks that the caller is an operator.
     *
     * @return the first 8 characters of the key's digest, which identify the operator in logs
     * @throws FuchsiaspindleException with {@code INVALID_KEY} if the key is missing or unknown
     */
    public String operator(HttpServerExchange exchange) {
        KeyDigest digest = digest(exchange);
        ConfigSnapshot snapshot = config.current();
        boolean isOperator =
                snapshot.settings().operatorKeys().isEmpty()
                        ? isBootstrapKey(digest)
                        : snapshot.isOperatorKey(digest);
        if (!isOperator) {
            throw invalidKey();
        }
        return digest.hex().substring(0, 8);
    }

    private boolean isBootstrapKey(KeyDigest digest) {
        return MessageDigest.isEqual(
                digest.hex().getBytes(StandardCharsets.US_ASCII),
                bootstrapOperatorKey.getBytes(StandardCharsets.US_ASCII));
    }

    private static KeyDigest digest(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (header == null || !header.startsWith(SCHEME)) {
            throw invalidKey();
        }
        return KeyDigest.ofKey(header.substring(SCHEME.length()));
    }

    private static FuchsiaspindleException invalidKey() {
        return new FuchsiaspindleException(
                ResultCode.INVALID_KEY, "the bearer key is missing or unknown");
    }
}
