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

/** Guards the way of a configuration to every gateway, and planned stops. */
final class GatewayConfigTest {

    /** The platform's bound from the acknowledgement of a change until it is in force. */
    private static final Duration IN_FORCE = Duration.ofMillis(2000);

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
    void change_isInForceEverywhereInTime() throws Exception {
        platform.configure(NEW_ROUTE);
        for (String ip : new String[] {first, second}) {
            await("new route at " + ip, IN_FORCE, () -> status(ip, "/new/x") == 200);
            assertThat(status(ip, GatewayFixture.SAFE + "x")).isEqualTo(404);
        }
    }

    /** Guards against a gap in the feed that hides a change. */
    @Test
    void changeDuringLostHistory_isFoundByAFullRead() throws Exception {
        platform.configure(NEW_ROUTE);
        platform.store().forgetHistory();
        await("new route", IN_FORCE, () -> status(first, "/new/x") == 200);
    }

    /** Guards against a broken document that takes the last good one out of force. */
    @Test
    void unreadableConfiguration_isIgnored() throws Exception {
        platform.store().put("op", "config", "{\"version\":".getBytes(StandardCharsets.UTF_8));
        Thread.sleep(1200);
        assertThat(status(first, GatewayFixture.SAFE + "x")).isEqualTo(200);
        platform.configure(NEW_ROUTE);
        await("new route", IN_FORCE, () -> status(first, "/new/x") == 200);
    }

    /** Guards against a registration of another writer that stops discovery. */
    @Test
    void foreignRegistration_isIgnored() throws Exception {
        platform.store().put("servers", "junk", new byte[] {1, 2, 3});
        platform.store()
                .put(
                        "servers",
                        "odd",
                        "{\"service\":7,\"state\":\"odd\"}".getBytes(StandardCharsets.UTF_8));
        Thread.sleep(800);
        assertThat(status(first, GatewayFixture.SAFE + "x")).isEqualTo(200);
    }

    /** Guards against a gateway that answers 404 before it knows any configuration. */
    @Test
    void gatewayWithoutConfiguration_isNotReadyAndAnswersUnavailable() throws Exception {
        platform.store().setMood(StoreEmulator.Mood.SILENT);
        platform.killGateway(first);
        platform.killGateway(second);
        String third = platform.startGateway(3);
        assertThat(platform.gateway(third).isReady()).isFalse();
        assertThat(status(third, GatewayFixture.SAFE + "x")).isEqualTo(503);
    }

    /** Guards against a gateway that cannot learn the configuration while the store is away. */
    @Test
    void gatewayStartedWhileTheStoreIsAway_learnsFromItsPeers() throws Exception {
        platform.store().setMood(StoreEmulator.Mood.BUSY);
        String third = platform.startGateway(3);
        await("ready", Duration.ofSeconds(5), () -> platform.gateway(third).isReady());
        await(
                "targets from peers",
                Duration.ofSeconds(5),
                () -> status(third, GatewayFixture.SAFE + "x") == 200);
    }

    /** Guards against requests that are cut by a planned stop. */
    @Test
    void plannedStop_cutsNoRequest() throws Exception {
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
                                // The port closes once the balancer has had time to notice.
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
