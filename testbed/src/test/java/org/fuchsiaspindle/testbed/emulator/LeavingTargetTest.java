package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.STREAM;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitTargets;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.streamHeaders;

import java.io.IOException;
import java.time.Duration;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests targets that say in their answers that they leave, which the store says later or never. */
final class LeavingTargetTest {

    private final PlatformEmulator platform = PlatformEmulator.start();
    private EngineEmulator leaving;
    private EngineEmulator other;
    private String ip;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        platform.addEngine("plain-1", "plain", 4, Duration.ofMillis(5));
        leaving = platform.addEngine("engine-1", "model", 4, Duration.ofMillis(5));
        ip = platform.startGateway(1);
        awaitReady(platform, ip);
        await("the only engine serves", () -> stream("first").status() == 200);
        leaving.announceLeaving(true);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    /** Guards against requests that are sent to a target after it said that it leaves. */
    @Test
    void targetThatSaysItLeaves_getsNoMoreRequests() throws Exception {
        startOther();
        for (int i = 0; i < 20; i++) {
            assertThat(stream("a" + i).status()).isEqualTo(200);
        }
        assertThat(leaving.arrivals().size()).isLessThanOrEqualTo(2);
        assertThat(other.arrivals()).isNotEmpty();
    }

    /** Guards against requests that are sent there because there is no other target. */
    @Test
    void requestsWithoutAnotherTarget_areRefused() throws Exception {
        assertThat(stream("b1").status()).isEqualTo(200);
        int arrivals = leaving.arrivals().size();
        Response response = stream("b2");
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.headers()).containsKey("Retry-After");
        assertThat(leaving.arrivals()).hasSize(arrivals);
    }

    /** Guards against batch items that are sent there. */
    @Test
    void batchItems_goElsewhere() throws Exception {
        assertThat(stream("c1").status()).isEqualTo(200);
        int arrivals = leaving.arrivals().size();
        startOther();
        assertThat(
                        platform.client(ip)
                                .call(
                                        "POST",
                                        GatewayFixture.BATCH + "x",
                                        headers("job-1"),
                                        EmulatorJobs.submission("job-1", 8, 3))
                                .status())
                .isEqualTo(202);
        await("items completed", () -> results().split("completed", -1).length == 9);
        assertThat(leaving.arrivals()).hasSize(arrivals);
    }

    /** Guards against a target that gets nothing after it has returned. */
    @Test
    void newIncarnationAtTheSameAddress_getsRequestsAgain() throws Exception {
        assertThat(stream("d1").status()).isEqualTo(200);
        assertThat(stream("d2").status()).isEqualTo(503);
        leaving.restart();
        platform.register(leaving, false);
        await("served again", () -> stream("d3").status() == 200);
    }

    private void startOther() throws Exception {
        int targets = (int) platform.metric("fuchsiaspindle_targets");
        other = platform.addEngine("engine-2", "model", 4, Duration.ofMillis(5));
        awaitTargets(platform, targets + 1);
    }

    private Response stream(String id) throws IOException {
        return platform.client(ip).call("POST", STREAM + "h", streamHeaders(id, 3), "");
    }

    private String results() throws IOException {
        return platform.client(ip).call("GET", "/lots/job-1", headers("read"), "").body();
    }
}
