package org.fuchsiaspindle.daemon.agent;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Timeouts and intervals of an agent; tests use shorter ones. Immutable.
 *
 * @param hangTimeout time without data on any running stream after which the target counts as hung
 * @param probeInterval regular interval between two probes of the target
 * @param downProbeInterval time between two probes of a target that does not respond
 * @param probeTimeout time after which a probe counts as failed
 * @param longPauseThreshold pause of the process after which peers have closed their connections
 * @param settleTime time after any pause in which buffered messages are read before work is started
 * @param sendTimeout time after a start decision within which the request must be sent
 */
record AgentTiming(
        Duration hangTimeout,
        Duration probeInterval,
        Duration downProbeInterval,
        Duration probeTimeout,
        Duration longPauseThreshold,
        Duration settleTime,
        Duration sendTimeout) {

    /** Values used in production. Peers close a silent connection after 3.5 s. */
    static final AgentTiming DEFAULT =
            new AgentTiming(
                    Duration.ofSeconds(10),
                    Duration.ofMillis(500),
                    Duration.ofMillis(250),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(3),
                    Duration.ofMillis(50),
                    Duration.ofSeconds(2));

    AgentTiming {
        checkArgument(hangTimeout.isPositive(), "hang timeout not positive: %s", hangTimeout);
        checkArgument(probeInterval.isPositive(), "probe interval not positive: %s", probeInterval);
        checkArgument(
                downProbeInterval.isPositive(),
                "down probe interval not positive: %s",
                downProbeInterval);
        checkArgument(probeTimeout.isPositive(), "probe timeout not positive: %s", probeTimeout);
        checkArgument(
                longPauseThreshold.isPositive(),
                "long pause threshold not positive: %s",
                longPauseThreshold);
        checkArgument(!settleTime.isNegative(), "negative settle time: %s", settleTime);
        checkArgument(sendTimeout.isPositive(), "send timeout not positive: %s", sendTimeout);
    }
}
