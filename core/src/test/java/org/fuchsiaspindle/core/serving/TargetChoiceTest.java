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

/** Guards against overloading some targets while others have free slots. */
final class TargetChoiceTest {

    private static final String LOCAL_ZONE = "zone-a";
    private final Random random = new Random(7);

    @Test
    void online_goesToTheLeastLoadedTarget() {
        Optional<TargetInstance> chosen =
                TargetChoice.forOnline(
                        List.of(candidate("a", LOCAL_ZONE, 5, 0), candidate("b", LOCAL_ZONE, 2, 0)),
                        LOCAL_ZONE,
                        random);
        assertThat(chosen.map(TargetInstance::id)).contains("b");
    }

    /** Batch items are preempted, so they must not make a target unavailable to online requests. */
    @Test
    void online_mayUseATargetFullOfBatchItems() {
        List<TargetChoice.Candidate> full = List.of(candidate("a", LOCAL_ZONE, 0, 8));
        assertThat(TargetChoice.forOnline(full, LOCAL_ZONE, random)).isPresent();
        assertThat(TargetChoice.forBatch(full, LOCAL_ZONE, random)).isEmpty();
    }

    @Test
    void online_waitsWhenOnlineRequestsFillEveryTarget() {
        assertThat(
                        TargetChoice.forOnline(
                                List.of(candidate("a", LOCAL_ZONE, 8, 0)), LOCAL_ZONE, random))
                .isEmpty();
    }

    @Test
    void remoteTarget_isChosenOnlyIfClearlyLessLoaded() {
        assertThat(chosen(1, 0)).isEqualTo("near");
        assertThat(chosen(4, 0)).isEqualTo("far");
    }

    /**
     * Simulates a burst over seven gateways, in which each request becomes known only ten requests
     * later.
     */
    @Test
    void burstOverSevenGateways_leavesNoTargetIdleOrOverloaded() {
        Map<String, Integer> actual = new HashMap<>();
        Map<String, Integer> known = new HashMap<>();
        List<String> recent = new ArrayList<>();
        for (int call = 0; call < 56; call++) {
            List<TargetChoice.Candidate> candidates = new ArrayList<>();
            for (int target = 0; target < 8; target++) {
                String id = "t" + target;
                candidates.add(candidate(id, LOCAL_ZONE, known.getOrDefault(id, 0), 0));
            }
            String id = TargetChoice.forOnline(candidates, LOCAL_ZONE, random).orElseThrow().id();
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
                                candidate("near", LOCAL_ZONE, nearLoad, 0),
                                candidate("far", "zone-b", farLoad, 0)),
                        LOCAL_ZONE,
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
