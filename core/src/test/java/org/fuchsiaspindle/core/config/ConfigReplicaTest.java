package org.fuchsiaspindle.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against a configuration that reverts or skips changes when messages arrive out of order.
 */
final class ConfigReplicaTest {

    private static final int CHANGES = 600;

    private final List<ConfigChange> log = new ArrayList<>();
    private final List<ConfigState> states = new ArrayList<>(List.of(ConfigState.EMPTY));

    ConfigReplicaTest() {
        Random random = new Random(7);
        for (int version = 1; version <= CHANGES; version++) {
            ConfigChange change = change(version, random);
            log.add(change);
            states.add(states.getLast().with(version, List.of(change)));
        }
    }

    @Test
    void offer_inRandomOrders_neverDecreasesAndAlwaysMatchesTheLog() {
        for (int seed = 0; seed < 30; seed++) {
            Random random = new Random(seed);
            ConfigReplica replica = ConfigReplica.create();
            for (int message = 0; message < 200; message++) {
                long before = replica.version();
                offerRandomly(replica, random);
                long after = replica.version();
                assertThat(after).as("seed %s", seed).isGreaterThanOrEqualTo(before);
                assertThat(replica.state().documents())
                        .as("seed %s version %s", seed, after)
                        .isEqualTo(states.get((int) after).documents());
                assertThat(replica.current().models())
                        .isEqualTo(states.get((int) after).snapshot().models());
            }
        }
    }

    @Test
    void changesAfter_forAVersionStillKept_bringsAnotherReplicaToTheSameState() {
        ConfigReplica replica = ConfigReplica.create();
        replica.offerChanges(0, CHANGES, log);
        long oldest = CHANGES - ConfigReplica.RECENT_CHANGES;
        assertThat(replica.changesAfter(oldest - 1)).isEmpty();
        ConfigReplica other = ConfigReplica.create();
        other.offerFull(oldest, states.get((int) oldest).documents().values());
        assertThat(other.offerChanges(oldest, CHANGES, replica.changesAfter(oldest).orElseThrow()))
                .isEqualTo(ConfigReplica.Outcome.APPLIED);
        assertThat(other.state().documents()).isEqualTo(replica.state().documents());
    }

    @Test
    void offerChanges_withMissingChangesBetween_isAGap() {
        ConfigReplica replica = ConfigReplica.create();
        assertThat(replica.offerChanges(3, 4, log.subList(3, 4)))
                .isEqualTo(ConfigReplica.Outcome.GAP);
        assertThat(replica.version()).isZero();
    }

    private void offerRandomly(ConfigReplica replica, Random random) {
        int version = 1 + random.nextInt(CHANGES);
        if (random.nextInt(10) == 0) {
            replica.offerFull(version, states.get(version).documents().values());
        } else {
            int after = Math.max(0, version - 1 - random.nextInt(150));
            replica.offerChanges(after, version, log.subList(after, version));
        }
    }

    private static ConfigChange change(int version, Random random) {
        DocumentKey key = new DocumentKey(DocumentKind.MODEL, "m-" + random.nextInt(40));
        Optional<String> document =
                random.nextInt(4) == 0
                        ? Optional.empty()
                        : Optional.of("{\"version\":\"" + version + "\"}");
        return new ConfigChange(version, "c-" + version, key, document, "op", Instant.EPOCH);
    }
}
