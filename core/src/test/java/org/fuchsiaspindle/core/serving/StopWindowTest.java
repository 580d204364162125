package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against requests that a graceful stop takes and then cuts off. */
final class StopWindowTest {

    private static final long BEGIN = -5;
    private final StopWindow window = new StopWindow(BEGIN, at(7500), Duration.ofMillis(2600));

    @Test
    void requestBeforeTheBalancerDetectsTheStop_isExecuted() {
        assertThat(window.admits(at(2600), Duration.ofSeconds(10))).isTrue();
    }

    @Test
    void laterRequest_isExecutedIfItEndsInTime() {
        assertThat(window.admits(at(2601), Duration.ofSeconds(5))).isFalse();
        assertThat(window.admits(at(2601), Duration.ofSeconds(4))).isTrue();
        assertThat(window.admits(at(7000), Duration.ofSeconds(1))).isFalse();
        assertThat(window.admits(at(7000), Duration.ofMillis(500))).isTrue();
    }

    @Test
    void requestThatHasWaited_startsOnlyIfTimeIsLeft() {
        assertThat(window.hasTimeFor(at(7400), Duration.ofMillis(200))).isFalse();
        assertThat(window.hasTimeFor(at(7300), Duration.ofMillis(200))).isTrue();
    }

    @Test
    void endBeforeTheBeginning_isRejected() {
        assertThatThrownBy(() -> new StopWindow(2, 1, Duration.ZERO)).hasMessageContaining("1");
    }

    /** Guards against a slow instance that is killed while it still sends the last answers. */
    @Test
    void smallerProcessorShare_endsTheWindowSooner() {
        Duration grace = Duration.ofSeconds(8);
        StopWindow whole = StopWindow.begin(BEGIN, grace, 1, Duration.ZERO);
        StopWindow fifth = StopWindow.begin(BEGIN, grace, 0.2, Duration.ZERO);
        assertThat(whole.endNanos()).isEqualTo(at(7400));
        assertThat(fifth.endNanos()).isEqualTo(at(7000));
    }

    /** Guards against a window that ends before it begins. */
    @Test
    void graceShorterThanTheMargin_leavesNoTime() {
        StopWindow window = StopWindow.begin(BEGIN, Duration.ofMillis(300), 1, Duration.ZERO);
        assertThat(window.endNanos()).isEqualTo(BEGIN);
    }

    private static long at(long millis) {
        return BEGIN + Duration.ofMillis(millis).toNanos();
    }
}
