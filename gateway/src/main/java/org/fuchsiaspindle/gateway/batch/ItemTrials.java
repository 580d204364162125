package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.fuchsiaspindle.gateway.prompt.PromptGuard;

/**
 * Lets items with a quarantined prompt part run now and then while their service is idle.
 *
 * <p>A quarantine may be wrong, or the targets may have been repaired; then a trial ends it before
 * the items must be abandoned. A trial may crash a target, so it waits until online requests have
 * stopped, and there is one at a time. Confined to the event loop of the request path.
 */
final class ItemTrials {

    /** Time after the last online request of a service from which it counts as idle. */
    private static final Duration MIN_IDLE_TIME = Duration.ofSeconds(2);

    /** Longest delay of the trials of a gateway, so that several gateways try in turn. */
    private static final Duration MAX_DELAY = Duration.ofSeconds(3);

    /** Time between two trials of the same item. */
    private static final Duration ITEM_INTERVAL = Duration.ofSeconds(15);

    /** Time between two trials of this gateway, in which others learn the outcome. */
    private static final Duration GATEWAY_INTERVAL = Duration.ofSeconds(2);

    private final PromptGuard promptGuard;
    private final Function<String, Duration> idleTime;
    private final Duration delay =
            Duration.ofMillis(ThreadLocalRandom.current().nextLong(MAX_DELAY.toMillis()));
    private ItemRun lastTrial;
    private long notBeforeNanos = System.nanoTime();

    /**
     * Creates trials.
     *
     * @param promptGuard knows the quarantined parts, not null
     * @param idleTime returns the time since the last online request of a service, not null
     */
    ItemTrials(PromptGuard promptGuard, Function<String, Duration> idleTime) {
        this.promptGuard = checkNotNull(promptGuard, "promptGuard");
        this.idleTime = checkNotNull(idleTime, "idleTime");
    }

    /** Returns whether an item with a quarantined prompt part may be tried now. */
    boolean isDue(ItemRun run, String service, long now) {
        return now - notBeforeNanos >= 0
                && !isTrialRunning()
                && run.timeSinceTrial(now).compareTo(ITEM_INTERVAL) > 0
                && idleTime.apply(service).compareTo(MIN_IDLE_TIME.plus(delay)) > 0
                && promptGuard.allowsTrial(service, run.promptParts(), delay);
    }

    private boolean isTrialRunning() {
        return lastTrial != null && lastTrial.isRunning();
    }

    /** Makes the next trial wait, for example because no target is idle. */
    void postpone(long now) {
        notBeforeNanos = now + GATEWAY_INTERVAL.toNanos();
    }

    /** Records the start of a trial. */
    void started(ItemRun run, long now) {
        lastTrial = run;
        postpone(now);
        run.recordTrial(now);
    }
}
