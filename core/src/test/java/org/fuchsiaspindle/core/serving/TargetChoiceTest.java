package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against targets that are overfilled while others have room. */
final class TargetChoiceTest {

    private static final String HERE = "zone-a";
    private final Random random = new Random(7);

    @Test
    void online_goesToTheLeastLoadedTarget() {
        Optional<TargetInstance> chosen =
                TargetChoice.forOnline(
                        List.of(candidate("a", HERE, 5, 0), candidate("b", HERE, 2, 0)),
                        HERE,
                        random);
        assertThat(chosen.map(TargetInstance::id)).contains("b");
    }

    /** Batch items give way, so they do not keep an online request from a target. */
    @Test
    void online_seesATargetFullOfBatchItemsAsOpen() {
        List<TargetChoice.Candidate> full = List.of(candidate("a", HERE, 0, 8));
        assertThat(TargetChoice.forOnline(full, HERE, random)).isPresent();
        assertThat(TargetChoice.forBatch(full, HERE, random)).isEmpty();
    }

    @Test
    void online_waitsWhenOnlineRequestsFillEveryTarget() {
        assertThat(TargetChoice.forOnline(List.of(candidate("a", HERE, 8, 0)), HERE, random))
                .isEmpty();
    }

    @Test
    void remoteTarget_isChosenOnlyIfClearlyLessLoaded() {
        assertThat(chosen(1, 0)).isEqualTo("near");
        assertThat(chosen(4, 0)).isEqualTo("far");
    }

    /** Replays a burst over seven gateways that learn of each other's calls ten calls late. */
    @Test
    void burstOverSevenGateways_leavesNoTargetIdleOrOverfilled() {
        Map<String, Integer> actual = new HashMap<>();
        Map<String, Integer> known = new HashMap<>();
        List<String> recent = new ArrayList<>();
        for (int call = 0; call < 56; call++) {
            List<TargetChoice.Candidate> candidates = new ArrayList<>();
            for (int target = 0; target < 8; target++) {
                String id = "t" + target;
                candidates.add(candidate(id, HERE, known.getOrDefault(id, 0), 0));
            }
            String id = TargetChoice.forOnline(candidates, HERE, random).orElseThrow().id();
            actual.merge(id, 1, Integer::sum);
            recent.add(id);
            if (recent.size() > 10) {
                known.merge(recent.removeFirst(), 1, Integer::sum);
            }
        }
        assertThat(actual.values()).allSatisfy(count -> assertThat(count).isBetween(3, 11));
        assertThat(actual).hasSize(8);
    }

    private String chosen(int nearLoad, int farLoad) {
        return TargetChoice.forOnline(
                        List.of(
                                candidate("near", HERE, nearLoad, 0),
                                candidate("far", "zone-b", farLoad, 0)),
                        HERE,
                        random)
                .orElseThrow()
                .id();
    }

    private static TargetChoice.Candidate candidate(String id, String zone, int online, int batch) {
        TargetInstance instance =
                new TargetInstance(
                        id, "model", HostAndPort.fromParts("10.0.0.1", 80), zone, 8, false, 0);
        return new TargetChoice.Candidate(instance, new TargetLoad(online, batch));
    }
}
