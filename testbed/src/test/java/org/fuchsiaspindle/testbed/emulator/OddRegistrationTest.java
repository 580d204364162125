package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitReady;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.awaitTargets;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.configureAll;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.headers;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a registration of another writer that ends the gateways, or after which they
 * follow the list of targets no more or start no more work.
 */
final class OddRegistrationTest {

    private static final Map<String, String> FIELDS =
            Map.of(
                    "service", "\"model\"",
                    "address", "\"127.0.2.99:9\"",
                    "zone", "\"zone-a\"",
                    "slots", "4",
                    "state", "\"ready\"");

    private static final String NESTED = "[".repeat(20_000) + "]".repeat(20_000);

    private final PlatformEmulator platform = PlatformEmulator.start();
    private String ip;

    @BeforeEach
    void startPlatform() throws Exception {
        configureAll(platform);
        platform.addEngine("plain-1", "plain", 4, Duration.ofMillis(5));
        platform.addEngine("model-1", "model", 4, Duration.ofMillis(5));
        ip = platform.startGateway(1);
        awaitReady(platform, ip);
        awaitTargets(platform, 2);
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = {
                "slots | 2147483647",
                "slots | 1e999999999",
                "address | \"127.0.2.99:70000\"",
                "address | \"127.0.2.99:0\"",
                "address | \"no-such-host.example:80\""
            })
    void oddField_isNoTargetAndTheListIsFollowed(String field, String value) throws Exception {
        put("odd", document(field, value));
        assertFollowed();
    }

    @ParameterizedTest
    @ValueSource(strings = {"state", "unknown"})
    void deeplyNestedField_isNoTargetAndTheListIsFollowed(String field) throws Exception {
        put("odd", document(field, NESTED));
        assertFollowed();
    }

    /** The identifier is sent to the target in a header. */
    @Test
    void oddIdentifier_isNoTargetAndTheListIsFollowed() throws Exception {
        put("odd\r\nForged: 1", document("slots", "4"));
        assertFollowed();
    }

    /** Rows of another partition describe no targets, and hide none. */
    @Test
    void rowOfAnotherPartition_changesNoTarget() throws Exception {
        platform.store().put("servers", "other", "model-1", bytes(document("slots", "4")));
        assertFollowed();
    }

    private void put(String id, String document) {
        platform.store().put("servers", id, bytes(document));
    }

    private static byte[] bytes(String document) {
        return document.getBytes(StandardCharsets.UTF_8);
    }

    private static String document(String field, String value) {
        Map<String, String> fields = new HashMap<>(FIELDS);
        fields.put(field, value);
        return fields.entrySet().stream()
                .map(entry -> "\"" + entry.getKey() + "\":" + entry.getValue())
                .collect(Collectors.joining(",", "{", "}"));
    }

    /** Checks that a target that is added later is found, and that all kinds of work are done. */
    private void assertFollowed() throws Exception {
        platform.addEngine("plain-2", "plain", 4, Duration.ofMillis(5));
        awaitTargets(platform, 3);
        for (int i = 0; i < 10; i++) {
            assertThat(status(GatewayFixture.SAFE, "safe-" + i)).isEqualTo(200);
            assertThat(status(GatewayFixture.STREAM, "stream-" + i)).isEqualTo(200);
        }
        String body = EmulatorJobs.submission("job-1", 6, 5);
        assertThat(
                        platform.client(ip)
                                .call("POST", GatewayFixture.BATCH + "x", headers("job-1"), body)
                                .status())
                .isEqualTo(202);
        await("items completed", () -> completedItems() == 6);
    }

    private int status(String path, String id) throws Exception {
        return platform.client(ip).call("POST", path + "x", headers(id), "").status();
    }

    private long completedItems() throws Exception {
        String results = platform.client(ip).call("GET", "/lots/job-1", headers("read"), "").body();
        return results.split("\"completed\"", -1).length - 1;
    }
}
