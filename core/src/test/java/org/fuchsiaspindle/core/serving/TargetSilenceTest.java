package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsiaspindle.core.serving.TargetSilence.WaitingCall;
import org.junit.jupiter.api.Test;

/** Guards against a silence that is seen where none is, overlooked, or never taken back. */
final class TargetSilenceTest {

    private static final Duration STEP = Duration.ofMillis(50);

    private long now = Duration.ofSeconds(100).toNanos();
    private final TargetSilence silence = new TargetSilence(now);

    @Test
    void streamsWithoutData_areASilence() {
        WaitingCall call = start(true, true);
        assertThat(timeToSilence(call)).isBetween(Duration.ofMillis(700), Duration.ofMillis(800));
        assertThat(silence.isMetBy(call.startNanos())).isTrue();
    }

    @Test
    void wholeAnswersWithoutData_areASilenceLater() {
        WaitingCall call = start(false, true);
        assertThat(timeToSilence(call)).isBetween(Duration.ofMillis(2500), Duration.ofMillis(2600));
    }

    @Test
    void dataOfOneCall_keepsTheTargetInUse() {
        WaitingCall call = start(true, true);
        for (int i = 0; i < 100; i++) {
            pass(STEP);
            silence.dataReceived(now);
            assertThat(silence.check(List.of(call), now)).isFalse();
        }
    }

    /** Guards against a target that is kept out of use when no call is there any more. */
    @Test
    void silentTarget_acceptsATrialAfterAWhile() {
        timeToSilence(start(true, true));
        assertThat(silence.acceptsCalls(now)).isFalse();
        pass(Duration.ofMillis(1600));
        assertThat(silence.acceptsCalls(now)).isTrue();
        WaitingCall trial = start(true, false);
        assertThat(silence.acceptsCalls(now)).isFalse();
        assertThat(silence.isMetBy(trial.startNanos())).isFalse();
        pass(STEP);
        assertThat(silence.dataReceived(now)).isTrue();
        assertThat(silence.acceptsCalls(now)).isTrue();
    }

    /** Guards against a slow target whose trials are given up before they can succeed, for ever. */
    @Test
    void trials_getMoreTimeEachTime() {
        timeToSilence(start(true, false));
        List<Duration> times = new ArrayList<>();
        for (int trial = 0; trial < 4; trial++) {
            pass(Duration.ofSeconds(2));
            times.add(timeToSilence(start(true, false)));
        }
        for (int trial = 1; trial < times.size(); trial++) {
            assertThat(times.get(trial))
                    .isGreaterThan(times.get(trial - 1).multipliedBy(3).dividedBy(2));
        }
    }

    /** Guards against a call that hangs for long and confirms the silence all the time. */
    @Test
    void callThatMetTheSilence_confirmsItOnlyOnce() {
        WaitingCall hanging = start(false, true);
        timeToSilence(hanging);
        for (int i = 0; i < 200; i++) {
            pass(STEP);
            assertThat(silence.check(List.of(hanging), now)).isFalse();
        }
        assertThat(silence.acceptsCalls(now)).isTrue();
    }

    private WaitingCall start(boolean isStream, boolean isOnline) {
        pass(STEP);
        silence.callStarted(now);
        return new WaitingCall(now, isStream, isOnline);
    }

    private Duration timeToSilence(WaitingCall call) {
        while (!silence.check(List.of(call), now)) {
            pass(STEP);
        }
        return Duration.ofNanos(now - call.startNanos());
    }

    private void pass(Duration time) {
        now += time.toNanos();
    }
}
