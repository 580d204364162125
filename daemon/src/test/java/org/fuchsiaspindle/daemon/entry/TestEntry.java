package org.fuchsiaspindle.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.config.FleetSettings;
import org.fuchsiaspindle.core.config.ModelDefinition;
import org.fuchsiaspindle.core.config.ServiceDefinition;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.settings.EntrySettings;
import org.fuchsiaspindle.daemon.settings.ProcessSettings;
import org.fuchsiaspindle.platform.memory.InMemoryInstances;
import org.fuchsiaspindle.platform.memory.InMemoryObjects;
import org.fuchsiaspindle.platform.table.TableService;

/** An entry with fake agents and an in-memory platform. */
final class TestEntry implements AutoCloseable {

    static final String KEY = "caller-key-1";
    static final String OPERATOR_KEY = "operator-key-1";
    static final String MODEL = "small";
    static final String SERVICE = "orders";
    static final int MAX_BODY_BYTES = 64 * 1024;

    private static final Duration AGENTS_TIMEOUT = Duration.ofSeconds(20);

    private final EntryDaemon daemon;
    private final HttpClient client = HttpClient.newHttpClient();

    private TestEntry(EntryDaemon daemon) {
        this.daemon = daemon;
    }

    static TestEntry start(String id, TableService table, FakeAgent... agents) {
        InMemoryInstances instances = InMemoryInstances.create();
        List.of(agents).forEach(agent -> instances.put(agent.listed()));
        EntryPlatform platform =
                new EntryPlatform(table, InMemoryObjects.create(), instances, Clock.system());
        TestEntry entry =
                new TestEntry(
                        EntryDaemon.start(
                                settings(id), platform, Optional.of(ConfigSource.fixed(config()))));
        entry.awaitTargets(agents.length);
        return entry;
    }

    EntryDaemon daemon() {
        return daemon;
    }

    HttpResponse<String> post(String path, String body, String... headers) throws Exception {
        return send(builder(path, headers).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    HttpResponse<String> get(String path, String... headers) throws Exception {
        return send(builder(path, headers).GET());
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpRequest.Builder builder(String path, String... headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + daemon.httpAddress().getPort()
                                                + path))
                        .header("Authorization", "Bearer " + KEY);
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder;
    }

    String metrics() throws IOException, InterruptedException {
        return client.send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://127.0.0.1:"
                                                        + daemon.managementAddress().getPort()
                                                        + "/metrics"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
    }

    @Override
    public void close() {
        daemon.stop();
        client.close();
    }

    private void awaitTargets(int count) {
        long end = System.nanoTime() + AGENTS_TIMEOUT.toNanos();
        while (daemon.usableTargets() < count) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("the agents did not report within 20 s");
            }
            Thread.onSpinWait();
        }
    }

    private static ConfigSnapshot config() {
        Contract contract =
                new Contract(
                        "customer-1",
                        ImmutableSet.of(KeyDigest.ofKey(KEY)),
                        1,
                        3,
                        Duration.ofSeconds(30),
                        new Contract.OnlineLimits(1000, 1000, 100),
                        new Contract.BatchTerms(Duration.ofHours(24), 1, 1, Duration.ofDays(1)),
                        ImmutableSet.of(MODEL),
                        ImmutableSet.of(SERVICE));
        ServiceDefinition service =
                new ServiceDefinition(
                        SERVICE,
                        ImmutableList.of(new ServiceDefinition.CallRule("GET", "/", true)),
                        Duration.ofSeconds(30));
        return ConfigSnapshot.of(
                1,
                ImmutableMap.of("customer-1", contract),
                ImmutableMap.of(
                        MODEL,
                        new ModelDefinition(MODEL, "1", 1, 1),
                        "large",
                        new ModelDefinition("large", "1", 0, 1)),
                ImmutableMap.of(SERVICE, service),
                FleetSettings.DEFAULT);
    }

    private static EntrySettings settings(String id) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        HostAndPort unused = HostAndPort.fromParts("127.0.0.1", 9);
        return new EntrySettings(
                new ProcessSettings(
                        id,
                        "dc-1",
                        "region-1",
                        any,
                        any,
                        unused,
                        FakeAgent.SECRET,
                        List.of(),
                        Duration.ofSeconds(20)),
                any,
                KeyDigest.ofKey(OPERATOR_KEY).hex(),
                MAX_BODY_BYTES,
                Duration.ZERO);
    }
}
