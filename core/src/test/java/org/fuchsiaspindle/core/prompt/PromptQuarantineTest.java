package org.fuchsiaspindle.core.prompt;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against harmless prompts that are quarantined, and crashing ones that are not. */
final class PromptQuarantineTest {

    private static final String SERVICE = "model";
    private static final Duration STEP = Duration.ofMillis(300);

    private final PromptQuarantine quarantine = new PromptQuarantine();
    private long now = Duration.ofHours(1).toNanos();

    @Test
    void partOfAllCrashes_isQuarantinedAfterEnoughOfThem() {
        crash("t1", "caller+deadly");
        crash("t2", "caller+deadly");
        assertThat(isQuarantined("caller", "deadly")).isFalse();
        crash("t3", "caller+deadly");
        assertThat(isQuarantined("other", "deadly")).isTrue();
        assertThat(isQuarantined("caller", "harmless")).isFalse();
    }

    /** The first part of prompts is part of nearly every request, so of nearly every crash. */
    @Test
    void partThatIsAnsweredElsewhere_isNotQuarantined() {
        for (int i = 0; i < 10; i++) {
            answered("caller", "harmless");
            crash("t" + i, "caller+b" + i);
        }
        assertThat(quarantine.active(now)).isEmpty();
    }

    /**
     * Guards against items that wait for a quarantine that may be wrong until they are abandoned.
     */
    @Test
    void trial_isAllowedSomeTimeAfterTheLastCrash() {
        quarantineDeadlyPart();
        assertThat(allowsTrial("deadly")).isFalse();
        now += PromptQuarantine.TRIAL_INTERVAL.toNanos();
        assertThat(allowsTrial("deadly")).isTrue();
        crash("t4", "caller+deadly");
        assertThat(allowsTrial("deadly")).isFalse();
    }

    /** Guards against trials that crash one target after the other. */
    @Test
    void trials_endAfterAFewCrashes() {
        quarantineDeadlyPart();
        int trials = 0;
        for (int second = 0; second < 100; second++) {
            now += Duration.ofSeconds(1).toNanos();
            if (allowsTrial("deadly")) {
                trials++;
                crash("t", "caller+deadly");
            }
        }
        assertThat(trials).isEqualTo(PromptQuarantine.MAX_TRIAL_CRASHES);
    }

    @Test
    void trialThatIsAnswered_endsTheQuarantine() {
        quarantineDeadlyPart();
        answered("caller", "deadly");
        assertThat(isQuarantined("caller", "deadly")).isFalse();
    }

    private void quarantineDeadlyPart() {
        crash("t1", "caller+deadly");
        crash("t2", "caller+deadly");
        crash("t3", "caller+deadly");
        assertThat(isQuarantined("other", "deadly")).isTrue();
    }

    private boolean allowsTrial(String... parts) {
        return quarantine.allowsTrial(SERVICE, ImmutableList.copyOf(parts), now);
    }

    /** Several gateways report the same crash. */
    @Test
    void reportsOfOneCrash_countOnce() {
        for (int gateway = 0; gateway < 5; gateway++) {
            quarantine.recordCrash(report("t1", "deadly"), now);
        }
        passDecisionDelay();
        assertThat(quarantine.evaluate(now)).isEmpty();
    }

    /** Crashes of all targets at once, as after a loss of power, say nothing about prompts. */
    @Test
    void partThatWasAnsweredJustBeforeAllTargetsCrashed_isNotQuarantined() {
        answered("caller", "harmless");
        for (int i = 0; i < 8; i++) {
            quarantine.recordCrash(report("t" + i, "caller+harmless"), now);
        }
        passDecisionDelay();
        assertThat(quarantine.evaluate(now)).isEmpty();
    }

    /** The same before any request was answered, as after a start of everything. */
    @Test
    void crashesAtOneMoment_countOnce() {
        for (int i = 0; i < 8; i++) {
            quarantine.recordCrash(report("t" + i, "caller+harmless"), now);
        }
        passDecisionDelay();
        assertThat(quarantine.evaluate(now)).isEmpty();
    }

    /** Another gateway knows what this one has not seen. */
    @Test
    void harmlessReportOfAnotherGateway_arrivesBeforeTheDecision() {
        crash("t1", "harmless");
        crash("t2", "harmless");
        quarantine.recordCrash(report("t3", "harmless"), now);
        assertThat(quarantine.evaluate(now)).isEmpty();
        quarantine.recordHarmless(new PromptPart(SERVICE, "harmless"), now + 1);
        passDecisionDelay();
        assertThat(quarantine.evaluate(now)).isEmpty();
    }

    /** A part that worked until a moment ago may crash targets from now on. */
    @Test
    void partThatWasAnsweredBefore_isQuarantinedOnceItCrashesTargets() {
        answered("deadly");
        now += Duration.ofSeconds(2).toNanos();
        crash("t1", "deadly");
        crash("t2", "deadly");
        crash("t3", "deadly");
        assertThat(isQuarantined("deadly")).isFalse();
        crash("t4", "deadly");
        crash("t5", "deadly");
        assertThat(isQuarantined("deadly")).isTrue();
    }

    /**
     * One quarantine explains the crashes, so that no harmless neighbour is quarantined as well.
     */
    @Test
    void neighboursOfAQuarantinedPart_areNotQuarantined() {
        for (int i = 0; i < 6; i++) {
            crash("t" + i, "caller+deadly", "caller+b" + i % 2);
        }
        assertThat(quarantine.active(now))
                .extracting(Quarantine::part)
                .containsExactly(new PromptPart(SERVICE, "deadly"));
    }

    @Test
    void twoCrashingParts_areBothQuarantinedWithoutTheirCommonPart() {
        answered("caller");
        now += Duration.ofSeconds(2).toNanos();
        for (int i = 0; i < 4; i++) {
            crash("t" + i, "caller+first");
            crash("u" + i, "caller+second");
        }
        assertThat(isQuarantined("caller", "first")).isTrue();
        assertThat(isQuarantined("caller", "second")).isTrue();
        assertThat(isQuarantined("caller", "harmless")).isFalse();
    }

    @Test
    void quarantineOfOneService_leavesOtherServicesAlone() {
        crash("t1", "deadly");
        crash("t2", "deadly");
        crash("t3", "deadly");
        assertThat(quarantine.remainingTime("other", ImmutableList.of("deadly"), now)).isEmpty();
    }

    /** Guards against targets that crash again and again after each quarantine. */
    @Test
    void crashAfterAQuarantine_renewsItForTwiceTheTime() {
        crash("t1", "deadly");
        crash("t2", "deadly");
        crash("t3", "deadly");
        Duration first = quarantine.active(now).getFirst().duration();
        now += first.toNanos();
        assertThat(isQuarantined("deadly")).isFalse();
        crash("t4", "deadly");
        assertThat(quarantine.active(now).getFirst().duration()).isEqualTo(first.multipliedBy(2));
    }

    @Test
    void answerAfterAQuarantine_endsTheSuspicion() {
        crash("t1", "deadly");
        crash("t2", "deadly");
        crash("t3", "deadly");
        now += PromptQuarantine.INITIAL_QUARANTINE.toNanos();
        assertThat(quarantine.recordAnswer(SERVICE, ImmutableList.of("deadly"), now))
                .containsExactly(new PromptPart(SERVICE, "deadly"));
        now += Duration.ofSeconds(2).toNanos();
        crash("t4", "deadly");
        assertThat(isQuarantined("deadly")).isFalse();
    }

    /** A gateway that starts, or that missed reports, learns from the others. */
    @Test
    void quarantineOfAnotherGateway_isAdoptedUnlessThePartIsAnsweredHere() {
        PromptPart part = new PromptPart(SERVICE, "deadly");
        Duration time = Duration.ofMinutes(1);
        Quarantine other = new Quarantine(part, time, now + time.toNanos());
        answered("deadly");
        assertThat(quarantine.adopt(other, now)).isEqualTo(PromptQuarantine.Adoption.REJECTED);
        now += Duration.ofSeconds(2).toNanos();
        assertThat(quarantine.adopt(other, now)).isEqualTo(PromptQuarantine.Adoption.ADOPTED);
        assertThat(quarantine.adopt(other, now)).isEqualTo(PromptQuarantine.Adoption.KNOWN);
        assertThat(isQuarantined("deadly")).isTrue();
    }

    @Test
    void report_leavesOutPartsThatAreAnsweredHere() {
        answered("caller");
        TargetCrash report =
                quarantine.withoutHarmlessParts(report("t1", "caller+b", "caller"), now);
        assertThat(report.suspects()).containsExactly(ImmutableList.of("b"));
        assertThat(quarantine.harmlessParts(report("t1", "caller+b"), now))
                .containsExactly(new PromptPart(SERVICE, "caller"));
    }

    private void crash(String target, String... suspects) {
        quarantine.recordCrash(report(target, suspects), now);
        passDecisionDelay();
        quarantine.evaluate(now);
    }

    private void passDecisionDelay() {
        now += STEP.toNanos();
    }

    private void answered(String... parts) {
        quarantine.recordAnswer(SERVICE, ImmutableList.copyOf(parts), now);
    }

    private boolean isQuarantined(String... parts) {
        return quarantine.remainingTime(SERVICE, ImmutableList.copyOf(parts), now).isPresent();
    }

    /** Creates a report; the parts of a suspect are separated by plus signs. */
    private static TargetCrash report(String target, String... suspects) {
        List<ImmutableList<String>> parts =
                Arrays.stream(suspects)
                        .map(suspect -> ImmutableList.copyOf(suspect.split("\\+")))
                        .toList();
        return new TargetCrash(SERVICE, target, ImmutableList.copyOf(parts));
    }
}
