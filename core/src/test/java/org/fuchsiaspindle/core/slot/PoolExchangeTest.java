package org.fuchsiaspindle.core.slot;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.fuchsiaspindle.core.slot.PoolExchange.QueryAnswer;
import org.junit.jupiter.api.Test;

/** Guards against a gateway and a coordinator that count different grants. */
final class PoolExchangeTest {

    private static final String COORDINATOR = "10.0.0.1";
    private static final String OTHER = "10.0.0.2";
    private static final long START = Duration.ofSeconds(100).toNanos();

    private final PoolExchange exchange = new PoolExchange(COORDINATOR, 5, START);
    private long now = START;

    /** Guards against grants that the coordinator has forgotten, and would make a second time. */
    @Test
    void onlyGrantsOfTheExchange_haveAnEffect() {
        assertThat(exchange.includes(COORDINATOR, 5)).isTrue();
        assertThat(exchange.includes(OTHER, 5)).isFalse();
        exchange.begin(COORDINATOR, 6, now);
        assertThat(exchange.includes(COORDINATOR, 5)).isFalse();
        assertThat(exchange.includes(COORDINATOR, 6)).isTrue();
    }

    /** Guards against gateways that get no slots from a coordinator of an earlier version. */
    @Test
    void grantsOfAnEarlierVersion_haveAnEffect() {
        assertThat(exchange.includes(COORDINATOR, ReceivedGrants.NO_EXCHANGE)).isTrue();
        assertThat(exchange.includes(OTHER, ReceivedGrants.NO_EXCHANGE)).isFalse();
    }

    @Test
    void newExchange_countsFromZeroAndTellsTheDemandAgain() {
        assertThat(demand(3)).isPresent();
        exchange.countGrant();
        assertThat(demand(2)).isEmpty();
        exchange.begin(COORDINATOR, 6, now);
        assertThat(demand(2).orElseThrow().received()).isEqualTo(new ReceivedGrants(6, 0));
    }

    /** Guards against grants that a coordinator takes for lost, since nothing is said of them. */
    @Test
    void grants_areConfirmedThoughNothingElseChanges() {
        demand(1);
        exchange.countGrant();
        assertThat(demand(0)).isEmpty();
        now += PoolExchange.CONFIRMATION_DELAY.toNanos();
        assertThat(demand(0).orElseThrow().received()).isEqualTo(new ReceivedGrants(5, 1));
        now += PoolExchange.CONFIRMATION_DELAY.toNanos();
        assertThat(demand(0)).isEmpty();
    }

    /** Guards against demands that are lost for ever. */
    @Test
    void demand_isRepeatedWhileItemsWait() {
        assertThat(demand(2)).isPresent();
        assertThat(demand(2)).isEmpty();
        now += Duration.ofSeconds(2).toNanos();
        assertThat(demand(2)).isPresent();
    }

    /** Guards against queries that begin one exchange after the other, and against unheard ones. */
    @Test
    void query_isAnsweredOnceForEachExchange() {
        assertThat(exchange.answerQuery(COORDINATOR, 5, false, now)).isEqualTo(QueryAnswer.BEGIN);
        exchange.begin(COORDINATOR, 6, now);
        assertThat(exchange.answerQuery(COORDINATOR, 5, true, now)).isEqualTo(QueryAnswer.NONE);
        assertThat(exchange.answerQuery(OTHER, 5, true, now)).isEqualTo(QueryAnswer.NOTHING_HELD);
    }

    /** Guards against a coordinator that asks for ever, because it missed the report. */
    @Test
    void queryAboutAnEarlierExchange_isAnsweredWhenItsReportMustHaveArrived() {
        exchange.begin(COORDINATOR, 6, now);
        now += Duration.ofSeconds(2).toNanos();
        assertThat(exchange.answerQuery(COORDINATOR, 5, true, now)).isEqualTo(QueryAnswer.BEGIN);
    }

    @Test
    void queryOfANewCoordinator_isAnsweredIfThereIsSomethingToReport() {
        long none = ReceivedGrants.NO_EXCHANGE;
        assertThat(exchange.answerQuery(COORDINATOR, none, false, now)).isEqualTo(QueryAnswer.NONE);
        assertThat(exchange.answerQuery(COORDINATOR, none, true, now)).isEqualTo(QueryAnswer.BEGIN);
        assertThat(exchange.answerQuery(OTHER, none, false, now)).isEqualTo(QueryAnswer.NONE);
        assertThat(exchange.answerQuery(OTHER, none, true, now))
                .isEqualTo(QueryAnswer.CHECK_COORDINATOR);
    }

    /** Guards against first grants that are returned because their demand began a pool. */
    @Test
    void queryOfANewCoordinator_endsNoExchangeThatHasOnlyADemand() {
        long none = ReceivedGrants.NO_EXCHANGE;
        demand(3);
        assertThat(exchange.answerQuery(COORDINATOR, none, false, now))
                .isEqualTo(QueryAnswer.REPEAT_DEMAND);
        assertThat(exchange.answerQuery(COORDINATOR, none, true, now)).isEqualTo(QueryAnswer.BEGIN);
        assertThat(exchange.answerQuery(OTHER, none, false, now))
                .isEqualTo(QueryAnswer.CHECK_COORDINATOR);
    }

    /** Guards against a coordinator that goes on granting what nobody wants any more. */
    @Test
    void repeatedDemand_isToldAlsoIfItHasEnded() {
        demand(3);
        exchange.repeatDemand(now);
        assertThat(demand(3)).isPresent();
        assertThat(demand(3)).isEmpty();
        exchange.repeatDemand(now);
        assertThat(demand(0).orElseThrow().waiting()).isZero();
    }

    private Optional<BatchDemand> demand(int items) {
        return exchange.demandToSend(items, 1000, ImmutableSet.of(), 0, now);
    }
}
