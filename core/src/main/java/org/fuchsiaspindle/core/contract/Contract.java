package org.fuchsiaspindle.core.contract;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.limit.CustomerLimits;
import org.fuchsiaspindle.core.limit.RateLimit;

/**
 * Permissions, limits and terms of service of one customer. Immutable.
 *
 * @param customer the customer's name
 * @param keys digests of the customer's bearer keys
 * @param weight weight in fair sharing between customers, 1 to 1000
 * @param urgency urgency of online requests, 0 (most urgent) to 9
 * @param requestDeadline time that an online request may take until its first token
 * @param online limits of online requests
 * @param batch terms of batch jobs
 * @param models names of the models that the customer may use
 * @param services names of the services that the customer may call
 */
public record Contract(
        String customer,
        ImmutableSet<KeyDigest> keys,
        int weight,
        int urgency,
        Duration requestDeadline,
        OnlineLimits online,
        BatchTerms batch,
        ImmutableSet<String> models,
        ImmutableSet<String> services) {

    /** Largest weight. */
    public static final int MAX_WEIGHT = 1000;

    /** Largest urgency value, that of the least urgent requests. */
    public static final int MAX_URGENCY = 9;

    /** Validates the components. */
    public Contract {
        Ids.checkName("customer", customer);
        checkNotNull(keys, "keys");
        checkArgument(weight >= 1 && weight <= MAX_WEIGHT, "weight out of range: %s", weight);
        checkArgument(urgency >= 0 && urgency <= MAX_URGENCY, "urgency out of range: %s", urgency);
        checkArgument(requestDeadline.isPositive(), "deadline not positive: %s", requestDeadline);
        checkNotNull(online, "online");
        checkNotNull(batch, "batch");
        checkNotNull(models, "models");
        checkNotNull(services, "services");
    }

    /**
     * Limits of a customer's online requests, summed over all entries.
     *
     * @param requestsPerSecond sustained request rate
     * @param burst number of requests by which a burst may exceed the rate
     * @param concurrency number of requests that may run concurrently
     */
    public record OnlineLimits(double requestsPerSecond, int burst, int concurrency) {

        /** Validates the components. */
        public OnlineLimits {
            checkArgument(requestsPerSecond > 0, "rate not positive: %s", requestsPerSecond);
            checkArgument(burst >= 1, "burst not positive: %s", burst);
            checkArgument(concurrency >= 1, "concurrency not positive: %s", concurrency);
        }

        /** Returns these limits without the contract. */
        public CustomerLimits limits() {
            return new CustomerLimits(new RateLimit(requestsPerSecond, burst), concurrency);
        }
    }

    /**
     * Terms of a customer's batch jobs.
     *
     * @param completionWindow longest time that a job may take
     * @param maxOpenJobs number of jobs that may be open at the same time
     * @param maxItemsPerJob largest number of items of a job
     * @param resultRetention time after the end of a job during which its results can be read
     */
    public record BatchTerms(
            Duration completionWindow,
            int maxOpenJobs,
            int maxItemsPerJob,
            Duration resultRetention) {

        /** Validates the components. */
        public BatchTerms {
            checkArgument(
                    completionWindow.isPositive(), "window not positive: %s", completionWindow);
            checkArgument(maxOpenJobs >= 0, "negative job limit: %s", maxOpenJobs);
            checkArgument(maxItemsPerJob >= 0, "negative item limit: %s", maxItemsPerJob);
            checkArgument(
                    resultRetention.isPositive(), "retention not positive: %s", resultRetention);
        }
    }
}
