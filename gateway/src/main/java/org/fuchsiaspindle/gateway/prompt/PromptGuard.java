package org.fuchsiaspindle.gateway.prompt;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.limit.TokenBucket;
import org.fuchsiaspindle.core.prompt.PromptPart;
import org.fuchsiaspindle.core.prompt.PromptQuarantine;
import org.fuchsiaspindle.core.prompt.Quarantine;
import org.fuchsiaspindle.core.prompt.TargetCrash;
import org.fuchsiaspindle.gateway.peer.PeerMesh;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps requests with prompt parts that crash targets from all targets.
 *
 * <p>Gateways tell each other of crashes, and of suspected parts that they know to be harmless. A
 * gateway that starts learns the quarantines in force from its peers. Confined to the event loop of
 * the request path.
 */
public final class PromptGuard implements PeerMesh.PromptListener {

    private static final Logger LOG = LoggerFactory.getLogger(PromptGuard.class);

    /** Bounds what one gateway sends to all others while many targets crash. */
    private static final double MAX_REPORTS_PER_SECOND = 20;

    private static final double MAX_REPORTS_AT_ONCE = 20;

    /**
     * What all gateways know at the same moment is told after a random part of this time, unless
     * another one did so before; otherwise each would tell all others.
     */
    private static final Duration MAX_DELAY = Duration.ofMillis(100);

    /** Time for which one report that a part is harmless is enough. */
    private static final Duration HARMLESS_REPORT_VALIDITY = Duration.ofMillis(500);

    /** Margin between the last possible report of other gateways and the decision. */
    private static final Duration DECISION_MARGIN = Duration.ofMillis(10);

    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMinutes(1);

    private final EventLoop loop;
    private final GatewayMetrics metrics;
    private final PromptQuarantine quarantine = new PromptQuarantine();
    private final TokenBucket reports =
            TokenBucket.full(MAX_REPORTS_PER_SECOND, MAX_REPORTS_AT_ONCE, System.nanoTime());
    private final Map<PromptPart, Long> harmlessReportedNanos = new HashMap<>();
    private PeerMesh mesh;

    private PromptGuard(EventLoop loop, GatewayMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Creates a guard that knows nothing of any prompt. */
    public static PromptGuard create(EventLoop loop, GatewayMetrics metrics) {
        return new PromptGuard(checkNotNull(loop, "loop"), checkNotNull(metrics, "metrics"));
    }

    /** Starts the exchange with other gateways. */
    public void start(PeerMesh newMesh) {
        mesh = checkNotNull(newMesh, "newMesh");
        newMesh.setPromptListener(this);
        loop.scheduleAtFixedRate(
                this::removeExpired,
                EXPIRY_CHECK_INTERVAL.toMillis(),
                EXPIRY_CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns how long a request must be kept from targets because of its prompt, empty if it may
     * be sent.
     *
     * @param service the service that would run it
     * @param promptParts the parts of its prompt that other requests may share
     */
    public Optional<Duration> quarantine(String service, ImmutableList<String> promptParts) {
        return quarantine.remainingTime(service, promptParts, System.nanoTime());
    }

    /**
     * Returns whether a request may be tried although parts of its prompt are quarantined.
     *
     * @param service the service that would run it
     * @param promptParts the parts of its prompt that other requests may share
     * @param delay how much later than possible the trial is allowed
     */
    public boolean allowsTrial(String service, ImmutableList<String> promptParts, Duration delay) {
        return quarantine.allowsTrial(service, promptParts, System.nanoTime() - delay.toNanos());
    }

    /** Handles a crash of a target that this gateway observed. */
    public void onCrash(TargetCrash crash) {
        long now = System.nanoTime();
        metrics.countPromptEvent("crash");
        TargetCrash report = quarantine.withoutHarmlessParts(crash, now);
        if (report.suspects().isEmpty()) {
            return;
        }
        if (reports.tryTake(now)) {
            mesh.broadcast(PromptCodec.crash(report));
        } else {
            LOG.info("prompt: crash not reported to peers target={}", crash.target());
        }
        recordCrash(report, now);
    }

    private void recordCrash(TargetCrash report, long now) {
        quarantine.recordCrash(report, now);
        Duration delay = PromptQuarantine.DECISION_DELAY.plus(DECISION_MARGIN).plus(randomDelay());
        loop.schedule(this::decide, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void decide() {
        ImmutableList<Quarantine> added = quarantine.evaluate(System.nanoTime());
        if (added.isEmpty()) {
            return;
        }
        added.forEach(
                newQuarantine -> {
                    metrics.countPromptEvent("quarantined");
                    LOG.warn(
                            "prompt: quarantined service={} part={} source=self time={}s",
                            newQuarantine.part().service(),
                            newQuarantine.part().id(),
                            newQuarantine.duration().toSeconds());
                });
        mesh.broadcast(PromptCodec.quarantines(added, System.nanoTime()));
    }

    /** Handles that a target answered a request of this gateway. */
    public void onAnswer(String service, ImmutableList<String> promptParts) {
        if (promptParts.isEmpty()) {
            return;
        }
        ImmutableSet<PromptPart> cleared =
                quarantine.recordAnswer(service, promptParts, System.nanoTime());
        if (!cleared.isEmpty()) {
            reportHarmless(cleared);
        }
    }

    @Override
    public void onPromptFrame(PeerFrame frame) {
        long now = System.nanoTime();
        switch (frame.getBodyCase()) {
            case PROMPT_CRASH -> {
                TargetCrash report = PromptCodec.decode(frame.getPromptCrash());
                ImmutableSet<PromptPart> harmless = quarantine.harmlessParts(report, now);
                if (!harmless.isEmpty()) {
                    scheduleHarmlessReport(harmless);
                }
                recordCrash(report, now);
            }
            case HARMLESS_PROMPT_PARTS ->
                    PromptCodec.decode(frame.getHarmlessPromptParts())
                            .forEach(part -> recordHarmless(part, now));
            case PROMPT_QUARANTINES ->
                    PromptCodec.decode(frame.getPromptQuarantines(), now)
                            .forEach(other -> adopt(other, now));
            default -> throw new AssertionError(frame.getBodyCase());
        }
    }

    private void recordHarmless(PromptPart part, long now) {
        harmlessReportedNanos.put(part, now);
        quarantine.recordHarmless(part, now);
    }

    private void adopt(Quarantine other, long now) {
        switch (quarantine.adopt(other, now)) {
            case ADOPTED -> {
                metrics.countPromptEvent("quarantined");
                LOG.warn(
                        "prompt: quarantined service={} part={} source=peer time={}s",
                        other.part().service(),
                        other.part().id(),
                        other.duration().toSeconds());
            }
            case REJECTED -> scheduleHarmlessReport(ImmutableSet.of(other.part()));
            case KNOWN -> {}
            default -> throw new AssertionError(other);
        }
    }

    @Override
    public void onConnected(String peerIp) {
        long now = System.nanoTime();
        ImmutableList<Quarantine> active = quarantine.active(now);
        if (!active.isEmpty()) {
            mesh.send(peerIp, PromptCodec.quarantines(active, now));
        }
    }

    private void scheduleHarmlessReport(ImmutableSet<PromptPart> parts) {
        loop.schedule(() -> reportHarmless(parts), randomDelay().toMillis(), TimeUnit.MILLISECONDS);
    }

    private static Duration randomDelay() {
        return Duration.ofMillis(ThreadLocalRandom.current().nextLong(MAX_DELAY.toMillis()));
    }

    /** Tells all peers that parts are harmless, unless another gateway has just done so. */
    private void reportHarmless(Collection<PromptPart> parts) {
        long now = System.nanoTime();
        removeOldReports(now);
        for (PromptPart part : parts) {
            if (harmlessReportedNanos.putIfAbsent(part, now) == null) {
                metrics.countPromptEvent("reported_harmless");
                mesh.broadcast(PromptCodec.harmless(part));
            }
        }
    }

    private void removeOldReports(long now) {
        harmlessReportedNanos
                .values()
                .removeIf(nanos -> now - nanos > HARMLESS_REPORT_VALIDITY.toNanos());
    }

    private void removeExpired() {
        long now = System.nanoTime();
        quarantine.removeExpired(now);
        removeOldReports(now);
    }
}
