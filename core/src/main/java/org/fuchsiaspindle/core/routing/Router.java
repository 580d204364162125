package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request among a few candidates by estimated cost.
 *
 * <p>Thread-safe if the random source is; never blocks. A decision takes O(size of the view), which
 * is bounded, and is deterministic for a given view, load reports, prefix map, time and seed.
 */
public final class Router {

    /** Number of candidates with the highest rendezvous weights. */
    private static final int AFFINITY_CANDIDATES = 2;

    /** Largest number of candidates from the prefix map. */
    private static final int PREFIX_CANDIDATES = 4;

    /** Number of candidates chosen at random for a request with a prompt. */
    private static final int RANDOM_CANDIDATES = 2;

    private static final int RANDOM_CANDIDATES_WITHOUT_PROMPT = 4;

    /** Largest number of candidates of one decision. */
    public static final int MAX_CANDIDATES =
            AFFINITY_CANDIDATES + PREFIX_CANDIDATES + RANDOM_CANDIDATES;

    /** Estimated prefill time of one uncached prompt token, for 20,000 tokens a second. */
    private static final long PREFILL_NANOS_PER_TOKEN = 50_000;

    private final PrefixMap prefixes;
    private final RandomGenerator random;

    private Router(PrefixMap prefixes, RandomGenerator random) {
        this.prefixes = prefixes;
        this.random = random;
    }

    /**
     * Creates a router.
     *
     * @param prefixes the known cache contents of the targets, not null
     * @param random the random source, not null; one per thread, or a thread-safe one
     */
    public static Router create(PrefixMap prefixes, RandomGenerator random) {
        return new Router(checkNotNull(prefixes, "prefixes"), checkNotNull(random, "random"));
    }

    /**
     * Chooses a target.
     *
     * @param view the targets of the model or service
     * @param prompt the prompt's prefixes, {@link PromptPrefixes#NONE} for services
     * @param promptTokens the estimated number of prompt tokens
     * @param usable returns false for targets that were already tried, are leaving or are not
     *     connected
     * @param nowNanos the monotonic time
     */
    public RouteDecision route(
            TargetView view,
            PromptPrefixes prompt,
            int promptTokens,
            Predicate<RoutingTarget> usable,
            long nowNanos) {
        Selection selection = new Selection(view.targets(), prompt, promptTokens, nowNanos);
        selection.markUsable(usable);
        if (selection.usableCount == 0) {
            return RouteDecision.NO_TARGET;
        }
        if (prompt.size() > 0) {
            selection.addPrefixHolders(prefixes);
            selection.addByAffinity();
            selection.addAtRandom(RANDOM_CANDIDATES, random);
        } else {
            selection.addAtRandom(RANDOM_CANDIDATES_WITHOUT_PROMPT, random);
        }
        return selection.decide();
    }

    /** The working state of one decision. Its arrays are bounded by the size of the view. */
    private static final class Selection {

        private final List<RoutingTarget> targets;
        private final PromptPrefixes prompt;
        private final int promptTokens;
        private final long nowNanos;
        private final boolean[] usable;
        private final RouteReason[] reasons = new RouteReason[MAX_CANDIDATES];
        private final int[] indexes = new int[MAX_CANDIDATES];
        private final int[] cached = new int[MAX_CANDIDATES];
        private int usableCount;
        private int count;

        Selection(
                List<RoutingTarget> targets,
                PromptPrefixes prompt,
                int promptTokens,
                long nowNanos) {
            this.targets = targets;
            this.prompt = prompt;
            this.promptTokens = promptTokens;
            this.nowNanos = nowNanos;
            this.usable = new boolean[targets.size()];
        }

        void markUsable(Predicate<RoutingTarget> predicate) {
            int ejected = 0;
            boolean[] isEjected = new boolean[usable.length];
            for (int i = 0; i < usable.length; i++) {
                isEjected[i] = targets.get(i).health().isEjected(nowNanos);
                ejected += isEjected[i] ? 1 : 0;
            }
            while (ejected > usable.length / 2) {
                isEjected[earliestEjectionEnd(isEjected)] = false;
                ejected--;
            }
            for (int i = 0; i < usable.length; i++) {
                usable[i] = !isEjected[i] && predicate.test(targets.get(i));
                usableCount += usable[i] ? 1 : 0;
            }
        }

        /**
         * Returns the ejected target whose ejection ends first. Targets are readmitted in this
         * order while more than half of them are ejected.
         */
        private int earliestEjectionEnd(boolean[] isEjected) {
            int earliest = -1;
            for (int i = 0; i < isEjected.length; i++) {
                if (isEjected[i]
                        && (earliest < 0
                                || targets.get(i).health().ejectedUntilNanos()
                                                - targets.get(earliest).health().ejectedUntilNanos()
                                        < 0)) {
                    earliest = i;
                }
            }
            return earliest;
        }

        void addPrefixHolders(PrefixMap prefixes) {
            int limit = count + PREFIX_CANDIDATES;
            for (int level = prompt.size() - 1; level >= 0; level--) {
                for (String holder : prefixes.holders(prompt.hash(level), nowNanos)) {
                    int index = indexOf(holder);
                    if (count < limit && index >= 0 && usable[index] && !isCandidate(index)) {
                        int tokens = Math.min(promptTokens, prompt.tokens(level));
                        add(index, RouteReason.PREFIX, tokens);
                    }
                }
            }
        }

        void addByAffinity() {
            int first = -1;
            int second = -1;
            long firstWeight = 0;
            long secondWeight = 0;
            for (int i = 0; i < usable.length; i++) {
                if (!usable[i] || isCandidate(i)) {
                    continue;
                }
                long weight = targets.get(i).weight(prompt.affinity());
                if (first < 0 || Long.compareUnsigned(weight, firstWeight) > 0) {
                    second = first;
                    secondWeight = firstWeight;
                    first = i;
                    firstWeight = weight;
                } else if (second < 0 || Long.compareUnsigned(weight, secondWeight) > 0) {
                    second = i;
                    secondWeight = weight;
                }
            }
            if (first >= 0) {
                add(first, RouteReason.AFFINITY, 0);
            }
            if (second >= 0) {
                add(second, RouteReason.AFFINITY, 0);
            }
        }

        void addAtRandom(int maxAdded, RandomGenerator random) {
            for (int n = 0; n < maxAdded && count < usableCount; n++) {
                int skip = random.nextInt(usableCount - count);
                for (int i = 0; i < usable.length; i++) {
                    if (usable[i] && !isCandidate(i) && skip-- == 0) {
                        add(i, RouteReason.RANDOM, 0);
                        break;
                    }
                }
            }
            dropRecovering(random);
        }

        /**
         * Drops recovering targets at random, so that a target receives a gradually growing share
         * of its requests after an ejection. One candidate is always kept.
         */
        private void dropRecovering(RandomGenerator random) {
            int kept = 0;
            for (int i = 0; i < count; i++) {
                TargetHealth health = targets.get(indexes[i]).health();
                boolean last = kept == 0 && i == count - 1;
                if (last
                        || health.ejections() == 0
                        || random.nextDouble() < health.share(nowNanos)) {
                    indexes[kept] = indexes[i];
                    reasons[kept] = reasons[i];
                    cached[kept] = cached[i];
                    kept++;
                }
            }
            count = kept;
        }

        RouteDecision decide() {
            ImmutableList.Builder<RouteCandidate> candidates =
                    ImmutableList.builderWithExpectedSize(count);
            RouteCandidate best = null;
            for (int i = 0; i < count; i++) {
                RouteCandidate candidate = candidate(i);
                candidates.add(candidate);
                if (best == null || candidate.scoreNanos() < best.scoreNanos()) {
                    best = candidate;
                }
            }
            return new RouteDecision(Optional.ofNullable(best), candidates.build());
        }

        private RouteCandidate candidate(int i) {
            RoutingTarget target = targets.get(indexes[i]);
            int cachedTokens = (int) (cached[i] * target.hitRatio());
            return new RouteCandidate(
                    target,
                    usableCount == 1 ? RouteReason.LAST_RESORT : reasons[i],
                    target.estimatedWaitNanos(nowNanos),
                    PREFILL_NANOS_PER_TOKEN * Math.max(0, promptTokens - cachedTokens),
                    target.penaltyNanos(),
                    cached[i]);
        }

        private void add(int index, RouteReason reason, int cachedTokens) {
            indexes[count] = index;
            reasons[count] = reason;
            cached[count] = cachedTokens;
            count++;
        }

        private boolean isCandidate(int index) {
            for (int i = 0; i < count; i++) {
                if (indexes[i] == index) {
                    return true;
                }
            }
            return false;
        }

        private int indexOf(String id) {
            for (int i = 0; i < usable.length; i++) {
                if (targets.get(i).id().equals(id)) {
                    return i;
                }
            }
            return -1;
        }
    }
}
