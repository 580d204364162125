package org.fuchsiaspindle.testbed.bench;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsiaspindle.testbed.bench.AnswerChecker.Rule;
import org.fuchsiaspindle.testbed.bench.AnswerChecker.Violation;
import org.fuchsiaspindle.testbed.emulator.AnswerHabit;
import org.fuchsiaspindle.testbed.emulator.AnswerLedger;
import org.fuchsiaspindle.testbed.emulator.DuplicateAnswers;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient;
import org.fuchsiaspindle.testbed.emulator.EngineEmulator;
import org.fuchsiaspindle.testbed.emulator.PlatformEmulator;
import org.fuchsiaspindle.testbed.fleet.Ports;

/** One play of a load on gateway processes whose engines have one habit. */
final class DuplicatesPlay {

    private static final int ENGINES = 3;
    private static final int SLOTS = 8;
    private static final Duration RUN_TIME = Duration.ofMillis(5);
    private static final Duration START_LIMIT = Duration.ofSeconds(60);

    /**
     * The settings of a play.
     *
     * @param habit the habit of the engines
     * @param seed the random seed of the load and the engines
     * @param requests number of online requests
     * @param gateways number of gateways
     */
    record Spec(AnswerHabit habit, long seed, int requests, int gateways) {}

    /**
     * What was seen.
     *
     * @param outcomes what the callers of online requests got
     * @param items what the readers of batch jobs got
     * @param runs number of runs of the engines
     * @param irregularAnswers number of answers that are not the one sound answer of their run
     * @param violations the rules that were broken
     * @param log the logs of the gateways
     */
    record Result(
            ImmutableList<DuplicatesLoad.Outcome> outcomes,
            ImmutableList<DuplicatesLoad.ItemOutcome> items,
            int runs,
            int irregularAnswers,
            ImmutableList<Violation> violations,
            ImmutableList<String> log) {

        /** Returns how often a rule was broken. */
        int count(Rule rule) {
            return Math.toIntExact(
                    violations.stream().filter(violation -> violation.rule() == rule).count());
        }
    }

    private DuplicatesPlay() {}

    /** Plays a load to its end. */
    static Result play(Spec spec) throws IOException, InterruptedException {
        List<GatewayProcess> gateways = new ArrayList<>();
        int peerPort = Ports.allocate();
        try (PlatformEmulator platform = PlatformEmulator.start()) {
            platform.configure(DuplicatesLoad.routes());
            List<EngineEmulator> engines = startEngines(platform);
            for (int number = 1; number <= spec.gateways(); number++) {
                gateways.add(GatewayProcess.start(platform, number, peerPort));
            }
            for (GatewayProcess gateway : gateways) {
                Waiting.until("start", START_LIMIT, () -> gateway.isReady(ENGINES));
                Waiting.until(
                        "service", START_LIMIT, () -> DuplicatesLoad.isServing(gateway.client()));
            }
            AnswerLedger ledger = new AnswerLedger();
            for (EngineEmulator engine : engines) {
                engine.answerWith(
                        DuplicateAnswers.of(spec.habit(), spec.seed(), engine.spec().id(), ledger));
            }
            return run(spec, gateways, ledger);
        } finally {
            for (GatewayProcess gateway : gateways) {
                gateway.close();
            }
            Ports.release(peerPort);
        }
    }

    private static List<EngineEmulator> startEngines(PlatformEmulator platform) {
        List<EngineEmulator> engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            String id = "engine-" + number;
            // One engine alone serves the plain requests, so that they are sent again to it.
            String service = number == 0 ? PlatformEmulator.PLAIN : PlatformEmulator.MODEL;
            engines.add(platform.addEngine(id, service, SLOTS, RUN_TIME));
        }
        return engines;
    }

    private static Result run(Spec spec, List<GatewayProcess> gateways, AnswerLedger ledger)
            throws IOException, InterruptedException {
        List<EmulatorClient> clients = gateways.stream().map(GatewayProcess::client).toList();
        DuplicatesLoad load = DuplicatesLoad.of(clients, spec.seed(), spec.requests());
        load.run();
        List<Violation> violations =
                AnswerChecker.of(ledger.runs()).check(load.outcomes(), load.items());
        return new Result(
                ImmutableList.copyOf(load.outcomes()),
                ImmutableList.copyOf(load.items()),
                ledger.runs().size(),
                ledger.irregularAnswers(),
                ImmutableList.copyOf(violations),
                gateways.stream()
                        .flatMap(gateway -> gateway.log().stream())
                        .collect(ImmutableList.toImmutableList()));
    }
}
