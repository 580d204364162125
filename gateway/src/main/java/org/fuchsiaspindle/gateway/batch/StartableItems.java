package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.gateway.prompt.PromptGuard;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;

/**
 * Tells which items may start now, and on which services.
 *
 * <p>Confined to the event loop of the request path; times are monotonic nanoseconds.
 */
final class StartableItems {

    private final FleetViewHolder viewHolder;
    private final ItemSchedule schedule;
    private final PromptGuard promptGuard;
    private final ItemTrials trials;

    StartableItems(
            FleetViewHolder viewHolder,
            ItemSchedule schedule,
            PromptGuard promptGuard,
            ItemTrials trials) {
        this.viewHolder = checkNotNull(viewHolder, "viewHolder");
        this.schedule = checkNotNull(schedule, "schedule");
        this.promptGuard = checkNotNull(promptGuard, "promptGuard");
        this.trials = checkNotNull(trials, "trials");
    }

    /** Returns the items of some jobs that may start now, with their services. */
    Map<ItemRun, String> of(Collection<OwnedJob> jobs, long now) {
        Map<ItemRun, String> startable = new HashMap<>();
        for (OwnedJob job : jobs) {
            schedule.route(job.job()).ifPresent(route -> addTo(startable, job, route, now));
        }
        return startable;
    }

    private void addTo(Map<ItemRun, String> startable, OwnedJob job, Route route, long now) {
        for (ItemRun run : job.runs()) {
            if (run.mayStart(now)) {
                service(run, route)
                        .filter(service -> mayRun(run, service, now))
                        .ifPresent(service -> startable.put(run, service));
            }
        }
    }

    /**
     * Returns the service on which an item runs. While none has targets with the memory for it, the
     * item waits, because the next configuration may bring one.
     */
    private Optional<String> service(ItemRun run, Route route) {
        Optional<String> service = run.service(route, candidate -> hasMemoryFor(run, candidate));
        if (run.setUnsuitable(service.isEmpty())) {
            DecisionLog.batch(
                    run.job().id(),
                    run.item().id(),
                    "waiting",
                    "larger than the memory of the targets of route " + route.name());
        }
        return service;
    }

    private boolean hasMemoryFor(ItemRun run, String service) {
        return viewHolder
                .view()
                .config()
                .flatMap(config -> config.model(service))
                .map(model -> model.hasMemoryFor(run.maxTokens()))
                .orElse(true);
    }

    private boolean mayRun(ItemRun run, String service, long now) {
        return !isQuarantined(run, service) || trials.isDue(run, service, now);
    }

    /** Returns whether a prompt part keeps an item from targets; it then waits. */
    private boolean isQuarantined(ItemRun run, String service) {
        Optional<Duration> remaining = promptGuard.quarantine(service, run.promptParts());
        if (run.setQuarantined(remaining.isPresent())) {
            DecisionLog.batch(
                    run.job().id(),
                    run.item().id(),
                    "waiting",
                    "PROMPT_QUARANTINED for " + remaining.orElseThrow().toSeconds() + "s");
        }
        return remaining.isPresent();
    }
}
