package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against requests that are lost because their connection is not fit for another one. */
final class ConnectionReuseTest {

    /** Bytes behind a response would make the next response malformed. */
    @Test
    void rightAfterAResponse_isTooEarly() {
        assertThat(ConnectionReuse.isTooEarly(Duration.ZERO)).isTrue();
        assertThat(ConnectionReuse.isTooEarly(ConnectionReuse.MIN_IDLE)).isFalse();
    }

    @Test
    void shortlyBeforeTheAnnouncedEnd_isTooLate() {
        Optional<Duration> keepAlive = Optional.of(Duration.ofSeconds(2));
        assertThat(ConnectionReuse.isTooLate(Duration.ofMillis(1300), keepAlive)).isFalse();
        assertThat(ConnectionReuse.isTooLate(Duration.ofMillis(1301), keepAlive)).isTrue();
        assertThat(ConnectionReuse.isTooLate(Duration.ofSeconds(3), Optional.empty())).isFalse();
        assertThat(ConnectionReuse.isTooLate(Duration.ofSeconds(5), Optional.empty())).isTrue();
    }
}
