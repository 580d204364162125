package org.fuchsiaspindle.daemon.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.id.Ids;
import picocli.CommandLine.Option;

/** Command line flags common to both roles; each is also an environment variable. */
public final class ProcessOptions {

    private static final int MIN_SECRET_CHARS = 16;

    @Option(
            names = "--instance-id",
            required = true,
            description = "Identifier of this instance, as in the instance list.")
    private String instanceId;

    @Option(names = "--data-centre", required = true, description = "Data centre of this instance.")
    private String dataCentre;

    @Option(names = "--region", required = true, description = "Region of this instance.")
    private String region;

    @Option(
            names = "--fleet-listen",
            defaultValue = "127.0.0.1:7400",
            description = "Listen address IP:port for other processes (default: ${DEFAULT-VALUE}).")
    private String fleetListen;

    @Option(
            names = "--management-listen",
            defaultValue = "127.0.0.1:7401",
            description =
                    "Listen address IP:port for liveness, readiness and metrics (default:"
                            + " ${DEFAULT-VALUE}).")
    private String managementListen;

    @Option(
            names = "--store-address",
            required = true,
            description = "Address IP:port of the platform's store.")
    private String storeAddress;

    @Option(
            names = "--fleet-secret",
            required = true,
            description =
                    "Secret shared by the processes of the fleet, at least 16 characters;"
                            + " preferably set by its environment variable.")
    private String fleetSecret;

    @Option(
            names = "--seed",
            split = ",",
            description =
                    "Fleet address IP:port of an entry to contact if the platform is down at"
                            + " start.")
    private List<String> seeds = List.of();

    @Option(
            names = "--grace-seconds",
            defaultValue = "30",
            description =
                    "Seconds that running work has to finish during a planned stop (default:"
                            + " ${DEFAULT-VALUE}).")
    private int graceSeconds;

    /**
     * Validates the flags and returns the settings.
     *
     * @throws FuchsiaspindleException with {@code INVALID_SETTING} that names the first invalid
     *     flag
     */
    public ProcessSettings settings() {
        return new ProcessSettings(
                name("--instance-id", instanceId),
                name("--data-centre", dataCentre),
                name("--region", region),
                Addresses.parse("--fleet-listen", fleetListen),
                Addresses.parse("--management-listen", managementListen),
                storeAddress(),
                secret(),
                seedAddresses(),
                Duration.ofSeconds(positive("--grace-seconds", graceSeconds)));
    }

    private HostAndPort storeAddress() {
        InetSocketAddress address = Addresses.parse("--store-address", storeAddress);
        return HostAndPort.fromParts(
                InetAddresses.toAddrString(address.getAddress()), address.getPort());
    }

    private List<InetSocketAddress> seedAddresses() {
        return seeds.stream().map(seed -> Addresses.parse("--seed", seed)).toList();
    }

    private String secret() {
        if (fleetSecret.length() < MIN_SECRET_CHARS) {
            throw invalid("--fleet-secret", "shorter than 16 characters");
        }
        return fleetSecret;
    }

    private static String name(String flag, String value) {
        if (!Ids.isName(value)) {
            throw invalid(flag, "not a valid name: " + value);
        }
        return value;
    }

    static URI url(String flag, String value) {
        try {
            URI uri = URI.create(value);
            if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() <= 0) {
                throw invalid(flag, "not of the form http://ip:port: " + value);
            }
            return uri;
        } catch (IllegalArgumentException e) {
            throw invalid(flag, "not a URL: " + value);
        }
    }

    static int positive(String flag, int value) {
        if (value <= 0) {
            throw invalid(flag, "not positive: " + value);
        }
        return value;
    }

    static FuchsiaspindleException invalid(String flag, String problem) {
        return new FuchsiaspindleException(ResultCode.INVALID_SETTING, flag + ": " + problem);
    }
}
