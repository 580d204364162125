package org.fuchsiaspindle.testbed.bench.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.routing.PrefixMap;
import org.fuchsiaspindle.core.routing.PromptPrefixes;
import org.fuchsiaspindle.core.routing.RouteDecision;
import org.fuchsiaspindle.core.routing.Router;
import org.fuchsiaspindle.core.routing.RoutingTarget;
import org.fuchsiaspindle.core.routing.TargetLoad;
import org.fuchsiaspindle.core.routing.TargetView;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures a routing decision in a fleet of 1,700 targets in 7 data centres. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingDecision {

    private static final int TARGETS = 1_700;
    private static final int DATA_CENTRES = 7;
    private static final int PROMPTS = 64;
    private static final int PROMPT_CHARS = 2_000;
    private static final int PROMPT_TOKENS = 500;
    private static final int PREFIXES = 4_096;
    private static final long NOW = 1_000_000_000;

    private final List<String> prompts = new ArrayList<>();
    private TargetView view;
    private Router router;
    private int next;

    /** Creates the targets, the router and the prompts. */
    @Setup
    public void setUp() {
        SplittableRandom random = new SplittableRandom(1);
        List<RoutingTarget> targets = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            RoutingTarget target = RoutingTarget.create("agent-" + i, "dc-" + i % DATA_CENTRES, 0);
            target.updateLoad(new TargetLoad(random.nextInt(32), 0, 32, 0, NOW));
            targets.add(target);
        }
        view = TargetView.of("entry-1", "dc-3", targets);
        router = Router.create(PrefixMap.create(PREFIXES), random);
        for (int i = 0; i < PROMPTS; i++) {
            prompts.add(("prompt " + i + " ").repeat(PROMPT_CHARS / 10));
        }
    }

    /** Hashes the prompt and chooses a target. */
    @Benchmark
    public RouteDecision route() {
        next = (next + 1) % PROMPTS;
        PromptPrefixes prefixes = PromptPrefixes.of(prompts.get(next));
        return router.route(view, prefixes, PROMPT_TOKENS, target -> true, NOW);
    }
}
