package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait for a target longer than their client does. */
final class RouteTest {

    @Test
    void patience_isTwoSecondsOrFourTimesTheLatencyTarget() {
        assertThat(stream(Duration.ofMillis(300)).firstEventPatience())
                .isEqualTo(Duration.ofSeconds(2));
        assertThat(stream(Duration.ofMillis(800)).firstEventPatience())
                .isEqualTo(Duration.ofMillis(3200));
    }

    private static Route stream(Duration latencyTarget) {
        return new Route(
                "hint",
                "host",
                "/hint/",
                RouteKind.STREAM,
                List.of(new WeightedService("model", 1)),
                Duration.ofSeconds(5),
                latencyTarget,
                0,
                1,
                false,
                Optional.empty(),
                false);
    }
}
