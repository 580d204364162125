package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A route from a host and a path prefix to services.
 *
 * @param name the unique name, not null
 * @param host the host that the request names, not null
 * @param pathPrefix the prefix of the path, begins and ends with a slash
 * @param kind the kind of its requests, not null
 * @param services the services with their weights, not empty
 * @param timeout the longest time that a request may wait for a target, positive
 * @param latencyTarget the response time up to which a response has its full value
 * @param priority the priority, 0 is the most urgent
 * @param maxAttempts how many targets one client attempt may run on, positive
 * @param resumable whether an interrupted stream may be resumed at another target after its last
 *     event
 * @param batch the limits of batch jobs, present for batch routes
 * @param isPublic whether callers need no key although there are workspaces
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        List<WeightedService> services,
        Duration timeout,
        Duration latencyTarget,
        int priority,
        int maxAttempts,
        boolean resumable,
        Optional<BatchLimits> batch,
        boolean isPublic) {

    private static final Duration MIN_PATIENCE = Duration.ofSeconds(2);

    /** Multiple of the latency target for which clients wait for the first event. */
    private static final int PATIENCE_FACTOR = 4;

    /**
     * Limits of the batch jobs of a route.
     *
     * @param completionTarget the time from the first submission until all results are due
     * @param retention the time from the first submission after which an item may be abandoned
     * @param maxWaitingTokens the largest number of tokens of waiting items on the route of each
     *     workspace, or of all clients together if there are no workspaces; 0 for no limit
     */
    public record BatchLimits(
            Duration completionTarget, Duration retention, long maxWaitingTokens) {

        /** Validates the components. */
        public BatchLimits {
            checkNotNull(completionTarget, "completionTarget");
            checkNotNull(retention, "retention");
            checkArgument(maxWaitingTokens >= 0, "negative limit: %s", maxWaitingTokens);
        }
    }

    /** Validates the components. */
    public Route {
        checkNotNull(name, "name");
        checkNotNull(host, "host");
        checkArgument(
                pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "prefix of route %s does not begin and end with a slash: %s",
                name,
                pathPrefix);
        checkNotNull(kind, "kind");
        services = List.copyOf(services);
        checkArgument(!services.isEmpty(), "route %s has no service", name);
        checkArgument(
                timeout.isPositive(), "timeout of route %s is not positive: %s", name, timeout);
        checkNotNull(latencyTarget, "latencyTarget");
        checkArgument(maxAttempts > 0, "attempts of route %s not positive: %s", name, maxAttempts);
        checkNotNull(batch, "batch");
        checkArgument(
                kind != RouteKind.BATCH || batch.isPresent(), "batch route %s has no limits", name);
    }

    /**
     * Returns whether a request may be run again from the start after an attempt that may have run.
     */
    public boolean isIdempotent() {
        return switch (kind) {
            case IDEMPOTENT, BATCH -> true;
            case AT_MOST_ONCE -> false;
            case STREAM -> resumable;
        };
    }

    /**
     * Returns how long clients wait for the first event of a stream at least; later ones find
     * nobody.
     */
    public Duration firstEventPatience() {
        Duration byTarget = latencyTarget.multipliedBy(PATIENCE_FACTOR);
        return byTarget.compareTo(MIN_PATIENCE) > 0 ? byTarget : MIN_PATIENCE;
    }

    /**
     * Returns the service for a request, chosen at random in proportion to the weights.
     *
     * @param randomFraction a random number, at least 0 and less than 1
     */
    public String chooseService(double randomFraction) {
        return choose(services, randomFraction);
    }

    /**
     * Returns the service for a request that only some services can run, chosen at random in
     * proportion to the weights; empty if none can.
     *
     * @param randomFraction a random number, at least 0 and less than 1
     * @param canRun whether a service can run the request, not null
     */
    public Optional<String> chooseService(double randomFraction, Predicate<String> canRun) {
        List<WeightedService> suitable =
                services.stream()
                        .filter(candidate -> candidate.weight() > 0 || services.size() == 1)
                        .filter(candidate -> canRun.test(candidate.service()))
                        .toList();
        return suitable.isEmpty()
                ? Optional.empty()
                : Optional.of(choose(suitable, randomFraction));
    }

    private static String choose(List<WeightedService> candidates, double randomFraction) {
        double total = candidates.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = randomFraction * total;
        for (WeightedService candidate : candidates) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return candidates.getLast().service();
    }
}
