package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against requests that match the wrong route or service. */
final class ServingConfigTest {

    @Test
    void longestPrefix_wins() {
        ServingConfig config =
                ServingConfig.of(
                        3,
                        List.of(route("short", "/a/", "s"), route("long", "/a/b/", "s")),
                        ClientLimits.INITIAL);
        assertThat(config.match("H.example", "/a/b/c").map(Route::name)).contains("long");
        assertThat(config.match("h.example", "/a/x").map(Route::name)).contains("short");
        assertThat(config.match("h.example", "/ab")).isEmpty();
        assertThat(config.match("other.example", "/a/x")).isEmpty();
    }

    @Test
    void split_followsTheWeights() {
        Route route =
                new Route(
                        "split",
                        "h.example",
                        "/a/",
                        RouteKind.STREAM,
                        List.of(new WeightedService("big", 90), new WeightedService("small", 10)),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1),
                        0,
                        1,
                        false,
                        Optional.empty(),
                        false);
        assertThat(route.chooseService(0.0)).isEqualTo("big");
        assertThat(route.chooseService(0.89)).isEqualTo("big");
        assertThat(route.chooseService(0.91)).isEqualTo("small");
        assertThat(route.chooseService(0.91, service -> true)).contains("small");
        assertThat(route.chooseService(0.91, "big"::equals)).contains("big");
        assertThat(route.chooseService(0.91, service -> false)).isEmpty();
        assertThat(route.isIdempotent()).isFalse();
    }

    @Test
    void prefixWithoutSlash_isNamedInTheError() {
        assertThatThrownBy(() -> route("bad", "/a", "s")).hasMessageContaining("/a");
    }

    /** Guards against accepted batch work that a route added later takes away from its route. */
    @Test
    void batchRoute_isTheOneThatAcceptedTheWork() {
        Route batch = batchRoute("batch", "/b/");
        Route below = route("below", "/b/c/", "s");
        Route otherBatch = batchRoute("other", "/b/c/d/");
        ServingConfig config =
                ServingConfig.of(3, List.of(batch, below, otherBatch), ClientLimits.INITIAL);
        assertThat(config.batchRoute("batch", "H.example", "/b/c/x")).contains(batch);
        assertThat(config.batchRoute("batch", "H.example", "/b/c/d/x")).contains(batch);
    }

    /** Guards against accepted batch work that is abandoned because its route was renamed. */
    @Test
    void batchRouteWithAnotherName_continuesTheWorkOnItsPath() {
        Route batch = batchRoute("new-name", "/b/");
        Route below = route("below", "/b/c/", "s");
        ServingConfig config = ServingConfig.of(3, List.of(batch, below), ClientLimits.INITIAL);
        assertThat(config.batchRoute("old-name", "h.example", "/b/c/x")).contains(batch);
    }

    /** Guards against batch work that runs on although its route was removed. */
    @Test
    void removedBatchRoute_isEmpty() {
        ServingConfig config =
                ServingConfig.of(
                        3,
                        List.of(route("batch", "/b/", "s"), batchRoute("far", "/far/")),
                        ClientLimits.INITIAL);
        assertThat(config.batchRoute("batch", "h.example", "/b/x")).isEmpty();
        assertThat(config.batchRoute("far", "other.example", "/far/x")).isEmpty();
    }

    private static Route batchRoute(String name, String prefix) {
        return new Route(
                name,
                "h.example",
                prefix,
                RouteKind.BATCH,
                List.of(new WeightedService("s", 1)),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                1,
                false,
                Optional.of(new Route.BatchLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 0)),
                false);
    }

    private static Route route(String name, String prefix, String service) {
        return new Route(
                name,
                "h.example",
                prefix,
                RouteKind.IDEMPOTENT,
                List.of(new WeightedService(service, 1)),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                1,
                false,
                Optional.empty(),
                false);
    }
}
