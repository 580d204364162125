package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * A message between two gateways about the limits of workspaces.
 *
 * <p>Sets of shards are bit masks, see {@link LimitShards}. An epoch is a random number that
 * identifies one start of a process. Times of a granter are nanoseconds of its own clock, which
 * other gateways only send back.
 */
public sealed interface LimitMessage {

    /**
     * Lends the sender's slices of some shards to the receiver, which takes back all other slices
     * that the sender lent to it.
     *
     * @param lenderEpoch the epoch of the sender
     * @param sequence increases with each such message of the sender to the receiver
     * @param granterEpoch the epoch of the receiver from its last answer, 0 if there was none
     * @param granterNanos the receiver's time from its last answer, at which the validity begins
     * @param shards the lent shards
     * @param startShards those of the lent shards that bring start tokens
     * @param fleetSize the number of gateways that the sender observed, positive
     * @param validity how long the receiver may use the slices
     */
    record Lend(
            long lenderEpoch,
            long sequence,
            long granterEpoch,
            long granterNanos,
            long shards,
            long startShards,
            int fleetSize,
            Duration validity)
            implements LimitMessage {

        /** Validates the components. */
        public Lend {
            checkArgument(fleetSize > 0, "fleet of %s gateways", fleetSize);
            checkNotNull(validity, "validity");
        }
    }

    /**
     * Answers a {@link Lend}; the sender holds no other slices of the receiver from now on.
     *
     * @param lenderEpoch the epoch of the receiver, from the message answered
     * @param sequence the sequence number of the message answered
     * @param granterEpoch the epoch of the sender
     * @param granterNanos the sender's time
     * @param fleetSize the number of gateways that the sender observed, 0 if it does not know the
     *     fleet yet
     * @param paidShards the shards taken back with the message answered whose start tokens the
     *     receiver may bring to another granter, because the sender removed as many
     */
    record LendAck(
            long lenderEpoch,
            long sequence,
            long granterEpoch,
            long granterNanos,
            int fleetSize,
            long paidShards)
            implements LimitMessage {}

    /**
     * Asks for permits.
     *
     * @param id identifies the request among those of the sender
     * @param workspace the workspace, not null
     * @param count the number of permits, positive
     * @param limit the limit that the sender knows, not null
     */
    record PermitRequest(long id, String workspace, int count, VersionedLimit limit)
            implements LimitMessage {

        /** Validates the components. */
        public PermitRequest {
            checkNotNull(workspace, "workspace");
            checkArgument(count > 0, "request for %s permits", count);
            checkNotNull(limit, "limit");
        }
    }

    /**
     * Answers a {@link PermitRequest}.
     *
     * @param id identifies the request
     * @param workspace the workspace, not null
     * @param granted the number of permits granted, not negative
     * @param granterEpoch the epoch of the sender
     * @param grantedNanos the sender's time
     * @param share the part of the limit that the sender may grant, from 0 to 1
     * @param retryAfter the time until another permit is likely, if fewer were granted than
     *     requested
     */
    record PermitReply(
            long id,
            String workspace,
            int granted,
            long granterEpoch,
            long grantedNanos,
            double share,
            Duration retryAfter)
            implements LimitMessage {

        /** Validates the components. */
        public PermitReply {
            checkNotNull(workspace, "workspace");
            checkArgument(granted >= 0, "%s permits granted", granted);
            checkNotNull(retryAfter, "retryAfter");
        }
    }

    /**
     * Returns permits with which no request reached a target.
     *
     * @param workspace the workspace, not null
     * @param count the number of permits, positive
     * @param granterEpoch the epoch of the granter
     * @param grantedNanos the granter's time from its answer
     */
    record PermitReturn(String workspace, int count, long granterEpoch, long grantedNanos)
            implements LimitMessage {

        /** Validates the components. */
        public PermitReturn {
            checkNotNull(workspace, "workspace");
            checkArgument(count > 0, "return of %s permits", count);
        }
    }
}
