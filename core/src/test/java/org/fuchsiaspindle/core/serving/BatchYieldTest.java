package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against too many or too few batch items that give way at a full target. */
final class BatchYieldTest {

    @Test
    void targetWithRoom_stopsNothing() {
        assertThat(BatchYield.itemsToStop(8, new TargetLoad(3, 5), 5, 0)).isZero();
    }

    @Test
    void excess_isDividedOverTheGatewaysWithoutARest() {
        int[] batch = {2, 0, 3, 3};
        for (int online = 0; online <= 8; online++) {
            int stopped = 0;
            int earlier = 0;
            for (int own : batch) {
                stopped += BatchYield.itemsToStop(8, new TargetLoad(online, 8), own, earlier);
                earlier += own;
            }
            assertThat(stopped).isEqualTo(online);
        }
    }

    @Test
    void ranks_areDistinctAndEachGatewayIsFirstSomewhere() {
        List<String> all = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");
        assertThat(all.stream().map(ip -> SlotTurn.rank("target", ip, others(all, ip))))
                .containsExactlyInAnyOrder(0, 1, 2);
        assertThat(SlotTurn.delay(0)).isZero();
        assertThat(SlotTurn.delay(2)).isGreaterThan(SlotTurn.delay(1));
    }

    private static List<String> others(List<String> all, String ip) {
        return all.stream().filter(other -> !other.equals(ip)).toList();
    }
}
