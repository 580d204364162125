package org.fuchsiaspindle.testbed.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fuchsiaspindle.testbed.bench.DuplicatesLoad.ItemOutcome;
import org.fuchsiaspindle.testbed.bench.DuplicatesLoad.Outcome;
import org.fuchsiaspindle.testbed.emulator.AnswerLedger.AnsweredRun;

/** Compares what callers got with the runs of the engines. Immutable. */
final class AnswerChecker {

    /** What gateways must never do. */
    enum Rule {
        /** A success is not the answer of a successful run of its request. */
        WRONG_SUCCESS,
        /** A request that is not idempotent ran more than once. */
        RAN_TWICE,
        /** A request that ran was answered as if it had not run. */
        RAN_BUT_REFUSED,
        /** A request or an item was held until its limit although the engines had answered. */
        HELD,
        /** The result of a batch item is not the whole output of the item. */
        WRONG_ITEM
    }

    /**
     * A rule that was broken.
     *
     * @param rule the rule
     * @param id the identifier of the request or item
     * @param detail what was seen
     */
    record Violation(Rule rule, String id, String detail) {}

    /** Statuses that tell a client that its request did not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private static final int GATEWAY_TIMEOUT = 504;

    /** Time after the last answer of the engines from which a request counts as held. */
    private static final Duration HELD_TIME = Duration.ofMillis(200);

    private static final int MAX_DETAIL_CHARS = 120;

    private final Map<String, List<AnsweredRun>> runs;

    private AnswerChecker(List<AnsweredRun> runs) {
        this.runs = runs.stream().collect(Collectors.groupingBy(AnsweredRun::requestId));
    }

    /** Creates a checker that compares with the given runs. */
    static AnswerChecker of(List<AnsweredRun> runs) {
        return new AnswerChecker(runs);
    }

    /** Returns the rules that were broken, each with the request or item. */
    List<Violation> check(List<Outcome> outcomes, List<ItemOutcome> items) {
        List<Violation> violations = new ArrayList<>();
        outcomes.forEach(outcome -> check(outcome, violations));
        items.forEach(item -> check(item, violations));
        return violations;
    }

    /** Returns whether a response tells that its request did not run. */
    static boolean isRefusal(Outcome outcome) {
        return NOT_RUN_STATUSES.contains(outcome.response().status());
    }

    private void check(Outcome outcome, List<Violation> violations) {
        List<AnsweredRun> own = runs.getOrDefault(outcome.id(), List.of());
        if (outcome.isSuccess() && !isAnswerOfRun(outcome, own)) {
            violations.add(violation(Rule.WRONG_SUCCESS, outcome, own));
        }
        if (!outcome.kind().isIdempotent() && own.size() > 1) {
            violations.add(violation(Rule.RAN_TWICE, outcome, own));
        }
        if (isRefusal(outcome) && !own.isEmpty()) {
            violations.add(violation(Rule.RAN_BUT_REFUSED, outcome, own));
        }
        boolean atLimit =
                outcome.response().status() == GATEWAY_TIMEOUT
                        || !outcome.isSuccess()
                                && outcome.elapsed().compareTo(DuplicatesLoad.REQUEST_LIMIT) >= 0;
        if (atLimit && answeredLongBefore(outcome.endNanos(), own)) {
            violations.add(violation(Rule.HELD, outcome, own));
        }
    }

    private void check(ItemOutcome item, List<Violation> violations) {
        List<AnsweredRun> own = runs.getOrDefault(item.id(), List.of());
        boolean completed = item.state().equals("completed");
        if (completed && !isWholeOutput(List.of(item.text().split("\n")), own, true)) {
            violations.add(new Violation(Rule.WRONG_ITEM, item.id(), detail(item.text(), own)));
        }
        if (item.state().isEmpty() && answeredLongBefore(item.endNanos(), own)) {
            violations.add(new Violation(Rule.HELD, item.id(), detail("not listed", own)));
        }
    }

    private static boolean answeredLongBefore(long endNanos, List<AnsweredRun> own) {
        return !own.isEmpty()
                && own.stream().allMatch(run -> endNanos - run.nanos() > HELD_TIME.toNanos());
    }

    private static boolean isAnswerOfRun(Outcome outcome, List<AnsweredRun> own) {
        if (outcome.isHead()) {
            String number = outcome.response().headers().getOrDefault("X-Run", "");
            return own.stream()
                    .anyMatch(run -> run.isSuccess() && number.equals(String.valueOf(run.run())));
        }
        String body = outcome.response().body();
        if (!outcome.kind().isStream()) {
            return own.stream().anyMatch(run -> run.isSuccess() && run.body().equals(body));
        }
        List<String> data = new ArrayList<>();
        for (String event : body.split("\n\n")) {
            String prefix = "id: " + (data.size() + 1) + "\ndata: ";
            if (!event.startsWith(prefix)) {
                return false;
            }
            data.add(event.substring(prefix.length()));
        }
        return isWholeOutput(data, own, outcome.kind().isIdempotent());
    }

    /**
     * Returns whether the data of events is the whole output of a request: each event comes from a
     * successful run, and another run continues only where it was told to resume.
     */
    private static boolean isWholeOutput(
            List<String> data, List<AnsweredRun> own, boolean resumable) {
        Optional<AnsweredRun> previous = Optional.empty();
        for (int event = 1; event <= data.size(); event++) {
            String text = "data: " + data.get(event - 1) + "\n";
            Optional<AnsweredRun> source =
                    own.stream()
                            .filter(run -> run.isSuccess() && run.body().contains(text))
                            .findFirst();
            if (source.isEmpty() || !data.get(event - 1).endsWith("|" + event)) {
                return false;
            }
            boolean isNewRun = !source.equals(previous);
            boolean mayStart = event == 1 || resumable;
            if (isNewRun && (!mayStart || source.get().lastEventId() != event - 1)) {
                return false;
            }
            previous = source;
        }
        return data.size() == DuplicatesLoad.EVENTS;
    }

    private static Violation violation(Rule rule, Outcome outcome, List<AnsweredRun> own) {
        String seen =
                "%s status=%d after=%dms body=%s"
                        .formatted(
                                outcome.kind(),
                                outcome.response().status(),
                                outcome.elapsed().toMillis(),
                                outcome.response().body());
        return new Violation(rule, outcome.id(), detail(seen, own));
    }

    private static String detail(String seen, List<AnsweredRun> own) {
        String start = seen.substring(0, Math.min(MAX_DETAIL_CHARS, seen.length()));
        return start.replace("\n", "\\n")
                + own.stream()
                        .map(run -> run.engine() + "#" + run.connection() + "=" + run.status())
                        .collect(Collectors.joining(",", " runs=[", "]"));
    }
}
