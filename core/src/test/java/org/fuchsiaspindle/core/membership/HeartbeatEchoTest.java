package org.fuchsiaspindle.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against dead connections that are taken for open ones, and the other way round. */
final class HeartbeatEchoTest {

    private final HeartbeatEcho echo = new HeartbeatEcho();
    private long now = Duration.ofSeconds(100).toNanos();

    @Test
    void connectionWhoseHeartbeatsAreHeard_isAlive() {
        for (int i = 0; i < 100; i++) {
            long number = echo.send(now);
            pass(Duration.ofMillis(500));
            assertThat(echo.recordHeard(number - 1, now)).isFalse();
        }
    }

    @Test
    void connectionThatGoesSilent_isFoundByWhatThePeerHears() {
        long last = echo.send(now);
        for (int i = 0; i < 4; i++) {
            pass(Duration.ofMillis(500));
            echo.send(now);
            assertThat(echo.recordHeard(last, now)).isFalse();
        }
        pass(Duration.ofMillis(600));
        assertThat(echo.recordHeard(last, now)).isTrue();
    }

    /** Guards against a connection that never passed anything on and is never noticed. */
    @Test
    void connectionThatWasSilentFromTheStart_isFound() {
        for (int i = 0; i < 100; i++) {
            echo.send(now);
            pass(Duration.ofMillis(100));
        }
        assertThat(echo.recordHeard(0, now)).isTrue();
    }

    /** Guards against a new connection that is judged by what was lost on the old one. */
    @Test
    void newConnection_isJudgedByItself() {
        long heard = echo.send(now);
        echo.send(now);
        pass(Duration.ofSeconds(10));
        echo.reset();
        echo.send(now);
        assertThat(echo.recordHeard(heard, now)).isFalse();
    }

    private void pass(Duration time) {
        now += time.toNanos();
    }
}
