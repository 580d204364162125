package org.fuchsiaspindle.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.limit.LimitMessage.Lend;
import org.fuchsiaspindle.core.limit.LimitMessage.LendAck;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitRequest;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitReturn;
import org.junit.jupiter.api.Test;

/** Tests the rules by which a slice is never used twice, one by one. */
class SliceLendingTest {

    private static final long MILLI = 1_000_000;
    private static final long GRANTER_EPOCH = 7;
    private static final long LENDER_EPOCH = 9;
    private static final Duration VALIDITY = Duration.ofMillis(600);
    private static final String WORKSPACE = "w";
    private static final VersionedLimit LIMIT = new VersionedLimit(1, new RateLimit(100, 50));

    private final PermitGranter granter =
            PermitGranter.create(
                    GRANTER_EPOCH,
                    new PermitGranter.LimitSource() {
                        @Override
                        public long version() {
                            return 1;
                        }

                        @Override
                        public Optional<RateLimit> limit(String workspace) {
                            return Optional.of(LIMIT.limit());
                        }
                    });

    private LendAck lend(long sequence, long echoMillis, long shards, long nowMillis) {
        Lend lend =
                new Lend(
                        LENDER_EPOCH,
                        sequence,
                        GRANTER_EPOCH,
                        echoMillis * MILLI,
                        shards,
                        0,
                        1,
                        VALIDITY);
        return granter.handle("lender", lend, nowMillis * MILLI);
    }

    private double share(long nowMillis) {
        return granter.share(WORKSPACE, nowMillis * MILLI);
    }

    private int take(int count, long nowMillis) {
        PermitRequest request = new PermitRequest(1, WORKSPACE, count, LIMIT);
        return granter.handle(request, nowMillis * MILLI).granted();
    }

    /** Guards against a delayed message that prolongs the validity of a slice. */
    @Test
    void validityBeginsAtTheTimeThatTheGranterTold() {
        lend(1, 1000, -1, 1500);
        assertEquals(1, share(1599));
        assertEquals(0, share(1600));
        lend(2, 1000, -1, 1700);
        assertEquals(0, share(1700));
    }

    /** Guards against an overtaken message that brings back a slice that was released. */
    @Test
    void overtakenMessageIsIgnored() {
        lend(2, 1000, 0, 1000);
        lend(1, 1000, -1, 1001);
        assertEquals(0, share(1001));
    }

    /** Guards against slices that another start of the granter was lent. */
    @Test
    void sliceForAnotherStartOfTheGranterIsIgnored() {
        Lend lend = new Lend(LENDER_EPOCH, 1, GRANTER_EPOCH + 1, 1000 * MILLI, -1, -1, 1, VALIDITY);
        granter.handle("lender", lend, 1000 * MILLI);
        assertEquals(0, share(1000));
    }

    /** Guards against a bucket that starts full, and one that stands still while unused. */
    @Test
    void bucketStartsEmptyAndFillsWithoutRequests() {
        lend(1, 1000, -1, 1000);
        assertEquals(0, take(10, 1000));
        assertEquals(20, take(100, 1200));
    }

    /** Guards against permits that come back long after they were granted. */
    @Test
    void latePermitsAreNotTakenBack() {
        lend(1, 1000, -1, 1000);
        assertEquals(20, take(100, 1200));
        granter.handle(new PermitReturn(WORKSPACE, 20, GRANTER_EPOCH, 1200 * MILLI), 1210 * MILLI);
        assertEquals(21, take(100, 1210));
        granter.handle(new PermitReturn(WORKSPACE, 21, GRANTER_EPOCH, 1210 * MILLI), 1511 * MILLI);
        assertEquals(30, take(100, 1511));
    }

    /** Guards against a permit that is used long after the granter counted it. */
    @Test
    void permitThatComesLateIsReturned() {
        List<LimitMessage> sent = new ArrayList<>();
        List<Permit> used = new ArrayList<>();
        PermitHolder holder =
                PermitHolder.create(
                        1, workspace -> Optional.of("granter"), (to, message) -> sent.add(message));
        PermitHolder.Listener listener =
                new PermitHolder.Listener() {
                    @Override
                    public void onPermitted(Permit permit) {
                        used.add(permit);
                    }

                    @Override
                    public void onRefused(LimitRefusal refusal) {}
                };
        holder.acquire(WORKSPACE, LIMIT, Duration.ofSeconds(1), listener, 0);
        LimitMessage.PermitReply reply =
                new LimitMessage.PermitReply(1, WORKSPACE, 1, GRANTER_EPOCH, 5, 1, Duration.ZERO);
        holder.handle("granter", reply, 101 * MILLI);
        assertEquals(List.of(), used);
        assertEquals(new PermitReturn(WORKSPACE, 1, GRANTER_EPOCH, 5), sent.get(1));
    }

    /** Guards against a slice that a lost granter may still use and another one gets. */
    @Test
    void sliceOfALostGranterWaitsForTheEndOfItsValidity() {
        List<Lend> toOther = new ArrayList<>();
        String first = LimitShards.none().among(List.of("a", "b")).granter(0).orElseThrow();
        String other = first.equals("a") ? "b" : "a";
        SliceLender lender =
                SliceLender.create(
                        "self",
                        LENDER_EPOCH,
                        (to, message) -> {
                            if (to.equals(other) && message instanceof Lend lend) {
                                toOther.add(lend);
                            }
                        },
                        fleet("a", "b"),
                        Duration.ofSeconds(10),
                        0);
        lender.update(fleet("a", "b"), 0);
        lender.handle(first, new LendAck(LENDER_EPOCH, 1, 1, 0, 3, 0), 200 * MILLI);
        lender.handle(other, new LendAck(LENDER_EPOCH, 1, 2, 0, 3, 0), 200 * MILLI);
        lender.update(fleet(other), 300 * MILLI);
        for (long millis = 350; millis < 850; millis += 50) {
            lender.handle(
                    other,
                    new LendAck(LENDER_EPOCH, toOther.size(), 2, millis * MILLI, 3, 0),
                    millis * MILLI);
            lender.tick(millis * MILLI);
        }
        assertEquals(0, toOther.getLast().shards() & 1);
        lender.tick(850 * MILLI);
        assertEquals(1, toOther.getLast().shards() & 1);
    }

    private static LimitFleet fleet(String... candidates) {
        return new LimitFleet(
                ImmutableSet.of("self", "a", "b"),
                ImmutableSet.copyOf(candidates),
                ImmutableSet.copyOf(candidates),
                true);
    }
}
