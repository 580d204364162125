package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.allRoutes;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the distribution of configurations to gateways, and planned stops. */
final class GatewayConfigTest {

    /** The platform's time limit from the acknowledgement of a change until it is in force. */
    private static final Duration IN_FORCE_LIMIT = Duration.ofMillis(2000);

    private static final String NEW_ROUTE =
            PlatformEmulator.route("new", "/new/", "safe", "plain", 2, "");

    private final PlatformEmulator platform = PlatformEmulator.start();
    private String first;
    private String second;

    @BeforeEach
    void startPlatform() throws Exception {
        platform.configure(allRoutes());
        platform.addEngine("plain-1", "plain", 8, Duration.ofMillis(100));
        first = platform.startGateway(1);
        second = platform.startGateway(2);
        awaitReady(platform, first, second);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    @Test
    void change_isInForceAtEveryGatewayWithinTheLimit() throws Exception {
        platform.configure(NEW_ROUTE);
        for (String ip : new String[] {first, second}) {
            await("new route at " + ip, IN_FORCE_LIMIT, () -> status(ip, "/new/x") == 200);
            assertThat(status(ip, GatewayFixture.SAFE + "x")).isEqualTo(404);
        }
    }

    /** Guards against missing a change that was made while the feed lost its history. */
    @Test
    void changeInDiscardedHistory_isFoundByAFullRead() throws Exception {
        platform.configure(NEW_ROUTE);
        platform.store().discardHistory();
        await("new route", IN_FORCE_LIMIT, () -> status(first, "/new/x") == 200);
    }

    /** Guards against a malformed document that replaces the last valid configuration. */
    @Test
    void unreadableConfiguration_isIgnored() throws Exception {
        platform.store().put("op", "config", "{\"version\":".getBytes(StandardCharsets.UTF_8));
        Thread.sleep(1200);
        assertThat(status(first, GatewayFixture.SAFE + "x")).isEqualTo(200);
        platform.configure(NEW_ROUTE);
        await("new route", IN_FORCE_LIMIT, () -> status(first, "/new/x") == 200);
    }

    /** Guards against a malformed registration that stops the discovery of targets. */
    @Test
    void malformedRegistration_isIgnored() throws Exception {
        platform.store().put("servers", "junk", new byte[] {1, 2, 3});
        platform.store()
                .put(
                        "servers",
                        "odd",
                        "{\"service\":7,\"state\":\"odd\"}".getBytes(StandardCharsets.UTF_8));
        Thread.sleep(800);
        assertThat(status(first, GatewayFixture.SAFE + "x")).isEqualTo(200);
    }

    /** Guards against a gateway that responds with 404 before it has a configuration. */
    @Test
    void gatewayWithoutConfiguration_isNotReadyAndRespondsUnavailable() throws Exception {
        platform.store().setFaultMode(StoreEmulator.FaultMode.SILENT);
        platform.killGateway(first);
        platform.killGateway(second);
        String third = platform.startGateway(3);
        assertThat(platform.gateway(third).isReady()).isFalse();
        assertThat(status(third, GatewayFixture.SAFE + "x")).isEqualTo(503);
    }

    /** Guards against a gateway that cannot obtain the configuration during a store outage. */
    @Test
    void gatewayStartedDuringAStoreOutage_obtainsStateFromItsPeers() throws Exception {
        platform.store().setFaultMode(StoreEmulator.FaultMode.BUSY);
        String third = platform.startGateway(3);
        await("ready", Duration.ofSeconds(5), () -> platform.gateway(third).isReady());
        await(
                "targets from peers",
                Duration.ofSeconds(5),
                () -> status(third, GatewayFixture.SAFE + "x") == 200);
    }

    /** Guards against a planned stop that interrupts requests. */
    @Test
    void plannedStop_interruptsNoRequest() throws Exception {
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        Thread load =
                Thread.startVirtualThread(
                        () -> {
                            try {
                                while (true) {
                                    int status = status(first, GatewayFixture.UNSAFE + "x");
                                    (status == 200 ? served : failed).incrementAndGet();
                                }
                            } catch (IOException stopped) {
                                // The gateway closes its port only after the load balancer has had
                                // time to remove it.
                                return;
                            }
                        });
        Thread.sleep(300);
        platform.stopGateway(first);
        load.join();
        assertThat(served.get()).isGreaterThan(10);
        assertThat(failed.get()).isZero();
    }

    private int status(String ip, String path) throws IOException {
        return platform.client(ip).call("POST", path, headers("s"), "").status();
    }
}
