package org.fuchsiaspindle.testbed.bench;

import static org.assertj.core.api.Assertions.assertThat;

import org.fuchsiaspindle.testbed.bench.AnswerChecker.Rule;
import org.fuchsiaspindle.testbed.bench.DuplicatesLoad.Outcome;
import org.fuchsiaspindle.testbed.emulator.AnswerHabit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against answers of engines that answer twice and mislead callers. */
final class DuplicateAnswersSoakTest {

    private static final long SEED = 7;
    private static final int REQUESTS = 300;
    private static final int GATEWAYS = 2;

    /** Without a minimum of successes, gateways that refuse everything would pass. */
    private static final int MIN_SUCCESSES = REQUESTS / 3;

    /** Guards against successes of failed runs, repeated runs, false refusals and wrong items. */
    @ParameterizedTest
    @EnumSource
    void callersGetOnlyWhatTheirOwnRunsGave(AnswerHabit habit) throws Exception {
        DuplicatesPlay.Result result = play(habit);
        assertThat(result.violations()).allMatch(violation -> violation.rule() == Rule.HELD);
    }

    /** Guards against requests that get their failure only after a second or more. */
    @Tag("known-red")
    @ParameterizedTest
    @EnumSource
    void callersAreNotHeldAfterTheirTargetsAnswered(AnswerHabit habit) throws Exception {
        assertThat(play(habit).violations()).isEmpty();
    }

    private static DuplicatesPlay.Result play(AnswerHabit habit) throws Exception {
        DuplicatesPlay.Spec spec = new DuplicatesPlay.Spec(habit, SEED, REQUESTS, GATEWAYS);
        DuplicatesPlay.Result result = DuplicatesPlay.play(spec);
        assertThat(result.irregularAnswers()).isPositive();
        assertThat(result.outcomes().stream().filter(Outcome::isSuccess).count())
                .isGreaterThan(MIN_SUCCESSES);
        return result;
    }
}
