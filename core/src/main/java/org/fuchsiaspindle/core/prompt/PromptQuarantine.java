package org.fuchsiaspindle.core.prompt;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaspindle.core.collect.LruMap;

/**
 * Decides which prompt parts are kept from all targets because they crash them.
 *
 * <p>A part is quarantined when several targets have crashed while they started to answer requests
 * with it, and none has answered such a request meanwhile. Requests that happened to start on a
 * crashing target share parts as well; answers elsewhere clear those parts. If several parts
 * explain crashes, the one deepest in the prompts is chosen, because it is part of the fewest
 * requests. All gateways receive the same crashes, and tell each other of suspected parts that they
 * know to be harmless.
 *
 * <p>A quarantine ends after some time, so that requests are served again after the targets were
 * repaired; a single crash then renews it for twice the time. A few trials are allowed before its
 * end. Not thread-safe; times are monotonic nanoseconds.
 */
public final class PromptQuarantine {

    /** Number of crashed targets after which a part is quarantined. */
    static final int MIN_CRASHES = 3;

    /** The same for a part that targets answered before, which speaks against it. */
    static final int MIN_CRASHES_AFTER_ANSWERS = 5;

    /** Time for which a crash counts. */
    static final Duration CRASH_VALIDITY = Duration.ofMinutes(5);

    /** Crashes that follow each other sooner have a common cause that is not the prompt. */
    static final Duration MIN_CRASH_INTERVAL = Duration.ofMillis(100);

    /** Reports of several gateways within this time are about the same crash of a target. */
    static final Duration SAME_CRASH_TIME = Duration.ofSeconds(1);

    /** Time in which other gateways can report parts of a crash as harmless before it counts. */
    public static final Duration DECISION_DELAY = Duration.ofMillis(250);

    /** An answer also clears a part of the crashes that follow within this time. */
    static final Duration CLEARING_TIME = Duration.ofSeconds(1);

    static final Duration INITIAL_QUARANTINE = Duration.ofMinutes(2);
    static final Duration MAX_QUARANTINE = Duration.ofMinutes(30);

    /** Time after the end of a quarantine during which a single crash renews it. */
    static final Duration RENEWAL_TIME = Duration.ofMinutes(30);

    /** Time after a crash in which no trial of the same part is made. */
    static final Duration TRIAL_INTERVAL = Duration.ofSeconds(3);

    /** Number of crashes during a quarantine after which no trial is made until it ends. */
    static final int MAX_TRIAL_CRASHES = 4;

    private static final int MAX_CRASHES = 256;

    /** Maximum number of requests that are kept of one crash. */
    private static final int MAX_SUSPECTS = 64;

    private static final int MAX_ANSWERED_PARTS = 8192;

    private final Deque<Crash> crashes = new ArrayDeque<>();
    private final Map<PromptPart, Quarantine> quarantines = new HashMap<>();
    private final Map<PromptPart, Long> answeredNanos = new LruMap<>(MAX_ANSWERED_PARTS);

    /** A crash of a target, merged from the reports of several gateways. */
    private static final class Crash {
        private final String service;
        private final String target;
        private final long nanos;
        private final List<ImmutableList<String>> suspects = new ArrayList<>();

        Crash(TargetCrash report, long nanos) {
            this.service = report.service();
            this.target = report.target();
            this.nanos = nanos;
        }

        boolean hasPart(PromptPart part) {
            return service.equals(part.service())
                    && suspects.stream().anyMatch(parts -> parts.contains(part.id()));
        }
    }

    /**
     * A part with the crashes that it explains.
     *
     * @param part the part
     * @param crashes the number of crashes, of several at one moment only one
     * @param depth how deep in the prompts the part was found
     * @param lastNanos the time of the last of the crashes
     */
    private record Explanation(PromptPart part, int crashes, int depth, long lastNanos) {

        Explanation withCrash(int otherDepth, long nanos) {
            boolean separate = nanos - lastNanos >= MIN_CRASH_INTERVAL.toNanos();
            return new Explanation(
                    part,
                    separate ? crashes + 1 : crashes,
                    Math.max(depth, otherDepth),
                    separate ? nanos : lastNanos);
        }
    }

    /** Creates a quarantine without parts. */
    public PromptQuarantine() {}

    /** Records the crash of a target that this or another gateway reported. */
    public void recordCrash(TargetCrash report, long now) {
        checkNotNull(report, "report");
        removeOldCrashes(now);
        Crash crash = sameCrash(report, now);
        if (crash == null) {
            crash = new Crash(report, now);
            crashes.addLast(crash);
        }
        int room = MAX_SUSPECTS - crash.suspects.size();
        crash.suspects.addAll(
                report.suspects().subList(0, Math.min(room, report.suspects().size())));
    }

    private Crash sameCrash(TargetCrash report, long now) {
        for (Crash crash : crashes) {
            if (crash.target.equals(report.target())
                    && now - crash.nanos <= SAME_CRASH_TIME.toNanos()) {
                return crash;
            }
        }
        return null;
    }

    private void removeOldCrashes(long now) {
        while (crashes.size() >= MAX_CRASHES
                || !crashes.isEmpty()
                        && now - crashes.peekFirst().nanos > CRASH_VALIDITY.toNanos()) {
            crashes.removeFirst();
        }
    }

    /** Returns a report without the parts that this gateway knows to be harmless. */
    public TargetCrash withoutHarmlessParts(TargetCrash report, long now) {
        return new TargetCrash(
                report.service(),
                report.target(),
                report.suspects().stream()
                        .map(parts -> unansweredParts(report.service(), parts, now))
                        .filter(parts -> !parts.isEmpty())
                        .collect(ImmutableList.toImmutableList()));
    }

    private ImmutableList<String> unansweredParts(
            String service, ImmutableList<String> parts, long now) {
        return parts.stream()
                .filter(id -> !isCleared(new PromptPart(service, id), now))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the parts of a report that this gateway knows to be harmless. */
    public ImmutableSet<PromptPart> harmlessParts(TargetCrash report, long now) {
        return report.suspects().stream()
                .flatMap(Collection::stream)
                .map(id -> new PromptPart(report.service(), id))
                .filter(part -> isCleared(part, now))
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Records that a target answered a request of this gateway.
     *
     * @return the parts that were under suspicion until now, which other gateways must be told
     */
    public ImmutableSet<PromptPart> recordAnswer(
            String service, ImmutableList<String> parts, long now) {
        ImmutableSet.Builder<PromptPart> cleared = ImmutableSet.builder();
        for (String id : parts) {
            PromptPart part = new PromptPart(service, id);
            if (isSuspected(part)) {
                cleared.add(part);
            }
            recordHarmless(part, now);
        }
        return cleared.build();
    }

    /** Records that some gateway knows a part to be harmless. */
    public void recordHarmless(PromptPart part, long now) {
        answeredNanos.put(checkNotNull(part, "part"), now);
        quarantines.remove(part);
    }

    private boolean isSuspected(PromptPart part) {
        if (quarantines.containsKey(part)) {
            return true;
        }
        Long answered = answeredNanos.get(part);
        for (Crash crash : crashes) {
            if ((answered == null || crash.nanos - answered > 0) && crash.hasPart(part)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an answer clears a part of the suspicion of a crash at a time. */
    private boolean isCleared(PromptPart part, long crashNanos) {
        Long answered = answeredNanos.get(part);
        return answered != null && crashNanos - answered <= CLEARING_TIME.toNanos();
    }

    /** Quarantines the parts that explain enough crashes; returns the new quarantines. */
    public ImmutableList<Quarantine> evaluate(long now) {
        ImmutableList.Builder<Quarantine> added = ImmutableList.builder();
        Optional<PromptPart> part;
        while ((part = mostSuspected(now)).isPresent()) {
            Quarantine quarantine = extend(part.get(), now);
            quarantines.put(part.get(), quarantine);
            added.add(quarantine);
        }
        return added.build();
    }

    private Optional<PromptPart> mostSuspected(long now) {
        return explanations(now).stream()
                .filter(found -> found.crashes() >= neededCrashes(found.part(), now))
                .max(
                        Comparator.comparingInt(Explanation::depth)
                                .thenComparingInt(Explanation::crashes))
                .map(Explanation::part);
    }

    private int neededCrashes(PromptPart part, long now) {
        Quarantine previous = quarantines.get(part);
        boolean isRenewable =
                previous != null && now - previous.untilNanos() <= RENEWAL_TIME.toNanos();
        if (isRenewable) {
            return 1;
        }
        return answeredNanos.containsKey(part) ? MIN_CRASHES_AFTER_ANSWERS : MIN_CRASHES;
    }

    /** Returns what may explain the crashes that no quarantined part explains. */
    private Collection<Explanation> explanations(long now) {
        Map<PromptPart, Explanation> found = new HashMap<>();
        for (Crash crash : crashes) {
            if (now - crash.nanos < DECISION_DELAY.toNanos() || isExplained(crash)) {
                continue;
            }
            Set<PromptPart> counted = new HashSet<>();
            for (ImmutableList<String> parts : crash.suspects) {
                for (int depth = 0; depth < parts.size(); depth++) {
                    PromptPart part = new PromptPart(crash.service, parts.get(depth));
                    if (!isCleared(part, crash.nanos) && counted.add(part)) {
                        Explanation known = found.get(part);
                        found.put(
                                part,
                                known == null
                                        ? new Explanation(part, 1, depth, crash.nanos)
                                        : known.withCrash(depth, crash.nanos));
                    }
                }
            }
        }
        return found.values();
    }

    /**
     * Returns whether a part that was quarantined at the time of a crash, or later, explains it.
     */
    private boolean isExplained(Crash crash) {
        for (Quarantine quarantine : quarantines.values()) {
            if (crash.nanos - quarantine.untilNanos() < 0 && crash.hasPart(quarantine.part())) {
                return true;
            }
        }
        return false;
    }

    private Quarantine extend(PromptPart part, long now) {
        Quarantine previous = quarantines.get(part);
        Duration time = previous == null ? INITIAL_QUARANTINE : previous.duration().multipliedBy(2);
        Duration bounded = time.compareTo(MAX_QUARANTINE) > 0 ? MAX_QUARANTINE : time;
        return new Quarantine(part, bounded, now + bounded.toNanos());
    }

    /** What a gateway does with a quarantine of another gateway. */
    public enum Adoption {
        /** The quarantine is new and in force here from now on. */
        ADOPTED,
        /** The quarantine is known, possibly with an earlier end. */
        KNOWN,
        /** This gateway knows the part to be harmless, which the other gateway must be told. */
        REJECTED
    }

    /**
     * Takes over a quarantine of another gateway, unless this one knows the part to be harmless.
     */
    public Adoption adopt(Quarantine quarantine, long now) {
        checkNotNull(quarantine, "quarantine");
        if (isCleared(quarantine.part(), now)) {
            return Adoption.REJECTED;
        }
        Quarantine known = quarantines.get(quarantine.part());
        if (known == null || quarantine.untilNanos() - known.untilNanos() > 0) {
            quarantines.put(quarantine.part(), quarantine);
        }
        return known != null && known.isActive(now) ? Adoption.KNOWN : Adoption.ADOPTED;
    }

    /** Returns the quarantines in force. */
    public ImmutableList<Quarantine> active(long now) {
        return quarantines.values().stream()
                .filter(quarantine -> quarantine.isActive(now))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns how long a request must be kept from targets, empty if it may be sent.
     *
     * @param service the service that would run it
     * @param parts the parts of its prompt that other requests may share
     * @param now the time
     */
    public Optional<Duration> remainingTime(String service, ImmutableList<String> parts, long now) {
        if (quarantines.isEmpty()) {
            return Optional.empty();
        }
        return parts.stream()
                .map(id -> quarantines.get(new PromptPart(service, id)))
                .filter(quarantine -> quarantine != null && quarantine.isActive(now))
                .map(quarantine -> Duration.ofNanos(quarantine.untilNanos() - now))
                .max(Comparator.naturalOrder());
    }

    /**
     * Returns whether a request may be tried although parts of its prompt are quarantined.
     *
     * <p>A trial that is answered ends the quarantine. Each trial that crashes its target delays
     * the next one, and a few of them end the trials; all gateways count the same crashes.
     *
     * @param service the service that would run it
     * @param parts the parts of its prompt that other requests may share
     * @param now the time
     */
    public boolean allowsTrial(String service, ImmutableList<String> parts, long now) {
        return parts.stream()
                .map(id -> quarantines.get(new PromptPart(service, id)))
                .filter(quarantine -> quarantine != null && quarantine.isActive(now))
                .allMatch(quarantine -> allowsTrial(quarantine, now));
    }

    private boolean allowsTrial(Quarantine quarantine, long now) {
        long startNanos = quarantine.untilNanos() - quarantine.duration().toNanos();
        int crashesSinceStart = 0;
        for (Crash crash : crashes) {
            if (!crash.hasPart(quarantine.part())) {
                continue;
            }
            if (now - crash.nanos < TRIAL_INTERVAL.toNanos()) {
                return false;
            }
            crashesSinceStart += crash.nanos - startNanos > 0 ? 1 : 0;
        }
        return crashesSinceStart < MAX_TRIAL_CRASHES;
    }

    /** Forgets quarantines that ended too long ago to be renewed. */
    public void removeExpired(long now) {
        quarantines
                .values()
                .removeIf(quarantine -> now - quarantine.untilNanos() > RENEWAL_TIME.toNanos());
    }
}
