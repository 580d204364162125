package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaspindle.core.limit.LimitMessage.Lend;
import org.fuchsiaspindle.core.limit.LimitMessage.LendAck;

/**
 * Lends the slices of one gateway to the granters, each slice to one granter at a time.
 *
 * <p>The validity of a lent slice begins at the granter's own time, which the granter told before,
 * so no delay of a message prolongs it. A slice goes to another granter only when the former one
 * confirmed that it does not hold it any more, or when the validity is over. Not thread-safe. Times
 * are monotonic nanoseconds that also pass while the process is suspended.
 */
public final class SliceLender {

    /** Time between two calls of {@link #tick}. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** Validity of lent slices in a small fleet. */
    private static final Duration MIN_VALIDITY = Duration.ofMillis(600);

    /** Validity for each gateway in a large fleet, which bounds the messages to a granter. */
    private static final Duration VALIDITY_PER_GATEWAY = Duration.ofMillis(5);

    /** Number of times that slices are lent anew while they are valid. */
    private static final int RENEWALS_PER_VALIDITY = 3;

    /**
     * Share of the validity that an answer may be old when slices are lent: slices that are lent
     * later are likely to be invalid when they arrive, so they are lent again after the next
     * answer.
     */
    private static final double MAX_ANSWER_AGE_SHARE = 0.75;

    /** Time between two ticks from which this process was held up. */
    private static final Duration MIN_PAUSE = TICK_INTERVAL.multipliedBy(4);

    /** Number of lending intervals after which a granter without an answer is excluded. */
    private static final int ANSWER_INTERVALS = 2;

    /** Covers clocks of different speeds and short suspensions that no clock shows. */
    private static final Duration CLOCK_MARGIN = Duration.ofMillis(50);

    /** Time after which a granter that did not answer is chosen again if it then answers. */
    private static final Duration EXCLUSION_TIME = Duration.ofSeconds(2);

    /**
     * Number of times in one interval that a slice brings start tokens which no granter gave back:
     * a granter that crashes loses its slices, and gets them back soon after it is started again.
     */
    private static final int MAX_START_TOKENS_PER_INTERVAL = 2;

    /** Interval for {@link #MAX_START_TOKENS_PER_INTERVAL}. */
    private static final Duration START_TOKENS_INTERVAL = Duration.ofSeconds(20);

    private final String self;
    private final long epoch;
    private final LimitSender sender;
    private final FleetKnowledge knowledge;
    private final long addressFreeSinceNanos;
    private final Map<String, Granter> granters = new HashMap<>();
    private final Slice[] slices = new Slice[LimitShards.COUNT];
    private LimitFleet fleet;
    private ImmutableSet<String> eligible = ImmutableSet.of();
    private LimitShards shards = LimitShards.none();
    private boolean settled;
    private long lastTickNanos;

    /** What is known of a gateway that is or was a granter. */
    private static final class Granter {
        private long epoch;
        private long echoNanos;
        private long answeredNanos;
        private long sequence;
        private long answeredSequence;
        private long lentShards;
        private long sentNanos;
        private boolean sentStale;
        private boolean dueNow;
        private boolean unanswered;
        private long unansweredSinceNanos;
        private boolean excluded;
        private long excludedUntilNanos;
    }

    /** The slices of one shard. */
    private static final class Slice {
        private String lentTo;
        private boolean releasing;
        private long releaseSequence;
        private long validUntilNanos;
        private boolean startTokensPaid;
        private int startTokensGiven;
        private long startTokensNanos;
    }

    private SliceLender(
            String self,
            long epoch,
            LimitSender sender,
            LimitFleet fleet,
            Duration age,
            long nowNanos) {
        this.self = self;
        this.epoch = epoch;
        this.sender = sender;
        this.fleet = fleet;
        this.knowledge = new FleetKnowledge(self, fleet, nowNanos);
        this.addressFreeSinceNanos = nowNanos - age.toNanos();
        this.lastTickNanos = nowNanos;
        for (int shard = 0; shard < LimitShards.COUNT; shard++) {
            slices[shard] = new Slice();
        }
    }

    /**
     * Creates a lender that has lent nothing.
     *
     * @param self the address of this gateway, not null
     * @param epoch a random number, not 0
     * @param sender sends its messages, not null
     * @param fleet the known gateways, not null
     * @param age the time for which no other process has run at this address, not negative
     * @param nowNanos the time
     */
    public static SliceLender create(
            String self,
            long epoch,
            LimitSender sender,
            LimitFleet fleet,
            Duration age,
            long nowNanos) {
        return new SliceLender(
                checkNotNull(self, "self"),
                epoch,
                checkNotNull(sender, "sender"),
                checkNotNull(fleet, "fleet"),
                checkNotNull(age, "age"),
                nowNanos);
    }

    /** Sets the known gateways. */
    public void update(LimitFleet newFleet, long nowNanos) {
        if (newFleet.equals(fleet) && !eligible.isEmpty()) {
            return;
        }
        fleet = checkNotNull(newFleet, "newFleet");
        knowledge.update(newFleet, nowNanos);
        granters.keySet()
                .removeIf(
                        ip -> !newFleet.known().contains(ip) && !ip.equals(self) && !isLender(ip));
        chooseGranters();
        lend(nowNanos);
    }

    /** Sends what is due; called at {@link #TICK_INTERVAL}. */
    public void tick(long nowNanos) {
        // After a pause of this process, answers are late without a fault of the granters.
        boolean paused = nowNanos - lastTickNanos > MIN_PAUSE.toNanos();
        lastTickNanos = nowNanos;
        for (Granter granter : granters.values()) {
            if (paused) {
                granter.unanswered = false;
            } else if (granter.unanswered
                    && nowNanos - granter.unansweredSinceNanos > answerTime().toNanos()) {
                granter.excluded = true;
                granter.excludedUntilNanos = nowNanos + EXCLUSION_TIME.toNanos();
            }
        }
        chooseGranters();
        lend(nowNanos);
    }

    /** Handles an answer of a granter. */
    public void handle(String from, LendAck ack, long nowNanos) {
        if (ack.lenderEpoch() != epoch) {
            return;
        }
        Granter granter = granter(from);
        if (!from.equals(self)) {
            knowledge.recordAnnounced(ack.fleetSize(), nowNanos);
        }
        boolean restarted = granter.epoch != 0 && granter.epoch != ack.granterEpoch();
        granter.dueNow |= restarted || granter.sentStale;
        if (granter.epoch != ack.granterEpoch() || granter.echoNanos - ack.granterNanos() < 0) {
            granter.epoch = ack.granterEpoch();
            granter.echoNanos = ack.granterNanos();
            granter.answeredNanos = nowNanos;
        }
        recordPaid(from, ack.paidShards());
        granter.answeredSequence = Math.max(granter.answeredSequence, ack.sequence());
        granter.unanswered = granter.answeredSequence < granter.sequence;
        granter.unansweredSinceNanos = nowNanos;
        if (granter.excluded && nowNanos - granter.excludedUntilNanos >= 0) {
            granter.excluded = false;
            chooseGranters();
        }
        if (!settled || granter.dueNow) {
            lend(nowNanos);
        }
    }

    private void recordPaid(String from, long paidShards) {
        for (int shard = 0; shard < LimitShards.COUNT; shard++) {
            Slice slice = slices[shard];
            if ((paidShards & LimitShards.maskOf(shard)) != 0
                    && slice.releasing
                    && from.equals(slice.lentTo)) {
                slice.startTokensPaid = true;
            }
        }
    }

    /** Returns the granter that should decide on requests of a shard, empty if none is known. */
    public Optional<String> granter(int shard) {
        Slice slice = slices[shard];
        // A granter that was just chosen may hold nothing yet.
        boolean holdsSlice =
                slice.lentTo != null && !slice.releasing && eligible.contains(slice.lentTo);
        return holdsSlice ? Optional.of(slice.lentTo) : shards.granter(shard);
    }

    /** Returns the number of gateways, which is never too small once the fleet is known. */
    public int fleetSize(long nowNanos) {
        return knowledge.size(nowNanos);
    }

    /** Returns the number that granters tell lenders, 0 if the fleet is not known yet. */
    public int announcedFleetSize(long nowNanos) {
        return knowledge.isComplete(nowNanos) ? knowledge.observedSize() : 0;
    }

    private boolean isLender(String granter) {
        for (Slice slice : slices) {
            if (granter.equals(slice.lentTo)) {
                return true;
            }
        }
        return false;
    }

    private Granter granter(String ip) {
        return granters.computeIfAbsent(ip, key -> new Granter());
    }

    private void lend(long nowNanos) {
        Map<String, Long> startShards = new HashMap<>();
        Set<String> changed = new HashSet<>();
        if (!settled) {
            moveSlices(startShards, changed, nowNanos);
        }
        long intervalNanos = lendInterval().toNanos();
        granters.forEach(
                (ip, granter) -> {
                    boolean due =
                            granter.sequence == 0
                                    || granter.dueNow
                                    || nowNanos - granter.sentNanos >= intervalNanos;
                    if (changed.contains(ip) || due && needsMessages(ip, granter)) {
                        send(ip, granter, startShards.getOrDefault(ip, 0L), nowNanos);
                    }
                });
    }

    private void moveSlices(Map<String, Long> startShards, Set<String> changed, long nowNanos) {
        boolean mayLend = mayLend(nowNanos);
        settled = true;
        for (int shard = 0; shard < LimitShards.COUNT; shard++) {
            String desired = shards.granter(shard).orElse(null);
            if (slices[shard].releasing || !Objects.equals(slices[shard].lentTo, desired)) {
                moveSlice(shard, desired, mayLend, startShards, changed, nowNanos);
                settled &=
                        !slices[shard].releasing && Objects.equals(slices[shard].lentTo, desired);
            }
        }
    }

    private boolean mayLend(long nowNanos) {
        // What a former process at this address lent may still be used.
        Duration wait = validity(knowledge.size(nowNanos)).plus(CLOCK_MARGIN);
        return nowNanos - addressFreeSinceNanos >= wait.toNanos() && knowledge.isComplete(nowNanos);
    }

    private void chooseGranters() {
        ImmutableSet.Builder<String> responding = ImmutableSet.builder();
        for (String candidate : fleet.candidates()) {
            Granter granter = granters.get(candidate);
            if (candidate.equals(self) || granter == null || !granter.excluded) {
                responding.add(candidate);
            }
        }
        ImmutableSet<String> newEligible = responding.build();
        if (!newEligible.equals(eligible)) {
            eligible = newEligible;
            shards = shards.among(newEligible);
            shards.granters().forEach(this::granter);
            settled = false;
        }
    }

    private void moveSlice(
            int shard,
            String desired,
            boolean mayLend,
            Map<String, Long> startShards,
            Set<String> changed,
            long nowNanos) {
        Slice slice = slices[shard];
        long mask = LimitShards.maskOf(shard);
        if (slice.lentTo != null && !slice.lentTo.equals(desired) && !slice.releasing) {
            Granter former = granter(slice.lentTo);
            slice.releasing = true;
            slice.releaseSequence = former.sequence + 1;
            former.lentShards &= ~mask;
            changed.add(slice.lentTo);
        }
        if (slice.releasing) {
            boolean confirmed = granter(slice.lentTo).answeredSequence >= slice.releaseSequence;
            boolean expired = nowNanos - slice.validUntilNanos >= CLOCK_MARGIN.toNanos();
            if (confirmed || expired) {
                slice.releasing = false;
                slice.lentTo = null;
            }
        }
        if (slice.lentTo == null && mayLend && desired != null) {
            Granter granter = granter(desired);
            if (granter.epoch != 0) {
                slice.lentTo = desired;
                slice.validUntilNanos = nowNanos;
                granter.lentShards |= mask;
                changed.add(desired);
                if (takeStartTokens(slice, nowNanos)) {
                    startShards.merge(desired, mask, (a, b) -> a | b);
                }
            }
        }
    }

    /** Returns whether a slice brings start tokens to a granter. */
    private static boolean takeStartTokens(Slice slice, long nowNanos) {
        if (slice.startTokensPaid) {
            slice.startTokensPaid = false;
            return true;
        }
        boolean newInterval =
                slice.startTokensGiven == 0
                        || nowNanos - slice.startTokensNanos >= START_TOKENS_INTERVAL.toNanos();
        if (newInterval) {
            slice.startTokensGiven = 0;
            slice.startTokensNanos = nowNanos;
        }
        if (slice.startTokensGiven == MAX_START_TOKENS_PER_INTERVAL) {
            return false;
        }
        slice.startTokensGiven++;
        return true;
    }

    /** Granters must be told of slices, and asked for their time before they get any. */
    private boolean needsMessages(String ip, Granter granter) {
        return granter.lentShards != 0
                || shards.granters().contains(ip)
                || granter.excluded && fleet.candidates().contains(ip);
    }

    private void send(String ip, Granter granter, long startShards, long nowNanos) {
        granter.sequence++;
        granter.sentNanos = nowNanos;
        Duration validity = validity();
        granter.dueNow = false;
        granter.sentStale =
                granter.lentShards != 0
                        && nowNanos - granter.answeredNanos
                                > MAX_ANSWER_AGE_SHARE * validity.toNanos();
        if (!granter.unanswered) {
            granter.unanswered = true;
            granter.unansweredSinceNanos = nowNanos;
        }
        long validUntilNanos = granter.answeredNanos + validity.toNanos();
        for (int shard = 0; shard < LimitShards.COUNT; shard++) {
            if ((granter.lentShards & LimitShards.maskOf(shard)) != 0) {
                Slice slice = slices[shard];
                if (validUntilNanos - slice.validUntilNanos > 0) {
                    slice.validUntilNanos = validUntilNanos;
                }
            }
        }
        sender.send(
                ip,
                new Lend(
                        epoch,
                        granter.sequence,
                        granter.epoch,
                        granter.echoNanos,
                        granter.lentShards,
                        startShards,
                        knowledge.observedSize(),
                        validity));
    }

    private Duration validity() {
        return validity(knowledge.observedSize());
    }

    private static Duration validity(int fleetSize) {
        Duration validity = VALIDITY_PER_GATEWAY.multipliedBy(fleetSize);
        if (validity.compareTo(MIN_VALIDITY) < 0) {
            return MIN_VALIDITY;
        }
        return validity.compareTo(PermitGranter.MAX_VALIDITY) > 0
                ? PermitGranter.MAX_VALIDITY
                : validity;
    }

    private Duration lendInterval() {
        return validity().dividedBy(RENEWALS_PER_VALIDITY);
    }

    private Duration answerTime() {
        return lendInterval().multipliedBy(ANSWER_INTERVALS);
    }
}
