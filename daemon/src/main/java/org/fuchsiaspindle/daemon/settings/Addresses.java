package org.fuchsiaspindle.daemon.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses and formats addresses of the form {@code ip:port}. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses {@code ip:port}; host names are refused, because processes do not resolve names.
     *
     * @param flag the name of the flag, for the error message
     * @param text the address
     * @throws org.fuchsiaspindle.core.error.FuchsiaspindleException with {@code INVALID_SETTING}
     */
    public static InetSocketAddress parse(String flag, String text) {
        try {
            HostAndPort parsed = HostAndPort.fromString(text);
            return new InetSocketAddress(
                    InetAddresses.forString(parsed.getHost()), parsed.getPort());
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw ProcessOptions.invalid(flag, "not of the form ip:port: " + text);
        }
    }

    /** Returns an address as {@code ip:port}. */
    public static String format(InetSocketAddress address) {
        return HostAndPort.fromParts(
                        InetAddresses.toAddrString(address.getAddress()), address.getPort())
                .toString();
    }
}
