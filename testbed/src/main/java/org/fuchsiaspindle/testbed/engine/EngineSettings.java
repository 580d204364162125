package org.fuchsiaspindle.testbed.engine;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;

/** Settings of a simulated engine. Immutable. */
public final class EngineSettings {

    private final Builder values;

    private EngineSettings(Builder values) {
        this.values = values;
    }

    /**
     * Returns a builder with the default settings.
     *
     * @param name the engine's name
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Returns the engine's name. */
    public String name() {
        return values.name;
    }

    /** Returns a copy of these settings with another weight store. */
    public EngineSettings withWeightStore(URI weightStore) {
        return new EngineSettings(new Builder(values).weightStore(weightStore));
    }

    int port() {
        return values.port;
    }

    Duration baseStep() {
        return values.baseStep;
    }

    Duration stepPerStream() {
        return values.stepPerStream;
    }

    Duration prefillPerToken() {
        return values.prefillPerToken;
    }

    int maxRunning() {
        return values.maxRunning;
    }

    int kvTokens() {
        return values.kvTokens;
    }

    int cacheBlocks() {
        return values.cacheBlocks;
    }

    Duration cacheEventDelay() {
        return values.cacheEventDelay;
    }

    double cacheEventLoss() {
        return values.cacheEventLoss;
    }

    Duration loadReportLag() {
        return values.loadReportLag;
    }

    boolean checksFence() {
        return values.checksFence;
    }

    int maxModels() {
        return values.maxModels;
    }

    Duration crashDowntime() {
        return values.crashDowntime;
    }

    Optional<URI> weightStore() {
        return Optional.ofNullable(values.weightStore);
    }

    Duration loadTime() {
        return values.loadTime;
    }

    ImmutableMap<String, String> models() {
        return values.models;
    }

    /** A builder of engine settings. Not thread-safe. */
    public static final class Builder {

        private final String name;
        private int port;
        private Duration baseStep = Duration.ofMillis(20);
        private Duration stepPerStream = Duration.ofNanos(500_000);
        private Duration prefillPerToken = Duration.ofNanos(20_000);
        private int maxRunning = 64;
        private int kvTokens = 512 * 1024;
        private int cacheBlocks = 4096;
        private Duration cacheEventDelay = Duration.ofMillis(300);
        private double cacheEventLoss = 0.02;
        private Duration loadReportLag = Duration.ofMillis(200);
        private boolean checksFence = true;
        private int maxModels = 2;
        private Duration crashDowntime = Duration.ofSeconds(2);
        private URI weightStore;
        private Duration loadTime = Duration.ZERO;
        private ImmutableMap<String, String> models = ImmutableMap.of();

        private Builder(String name) {
            this.name = name;
        }

        private Builder(Builder other) {
            name = other.name;
            port = other.port;
            baseStep = other.baseStep;
            stepPerStream = other.stepPerStream;
            prefillPerToken = other.prefillPerToken;
            maxRunning = other.maxRunning;
            kvTokens = other.kvTokens;
            cacheBlocks = other.cacheBlocks;
            cacheEventDelay = other.cacheEventDelay;
            cacheEventLoss = other.cacheEventLoss;
            loadReportLag = other.loadReportLag;
            checksFence = other.checksFence;
            maxModels = other.maxModels;
            crashDowntime = other.crashDowntime;
            weightStore = other.weightStore;
            loadTime = other.loadTime;
            models = other.models;
        }

        /** Sets the port; 0, the default, selects a free port. */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /** Sets the duration of a step without streams, 20 ms by default. */
        public Builder baseStep(Duration value) {
            baseStep = value;
            return this;
        }

        /** Sets the time that each running stream adds to a step, 0.5 ms by default. */
        public Builder stepPerStream(Duration value) {
            stepPerStream = value;
            return this;
        }

        /**
         * Sets the time that each uncached token of a new prompt adds to a step, 0.02 ms by
         * default.
         */
        public Builder prefillPerToken(Duration value) {
            prefillPerToken = value;
            return this;
        }

        /** Sets the maximum number of running streams, 64 by default. */
        public Builder maxRunning(int value) {
            checkArgument(value >= 1, "maxRunning not positive: %s", value);
            maxRunning = value;
            return this;
        }

        /** Sets the capacity of the key-value cache in tokens, 512 Ki by default. */
        public Builder kvTokens(int value) {
            kvTokens = value;
            return this;
        }

        /** Sets the capacity of the prefix cache in blocks, 4096 by default. */
        public Builder cacheBlocks(int value) {
            cacheBlocks = value;
            return this;
        }

        /**
         * Sets the delay until cache events are published, 300 ms by default, and the fraction of
         * events that are never published, 0.02 by default.
         */
        public Builder cacheEvents(Duration delay, double loss) {
            checkArgument(loss >= 0 && loss <= 1, "loss not between 0 and 1: %s", loss);
            cacheEventDelay = delay;
            cacheEventLoss = loss;
            return this;
        }

        /**
         * Sets the sampling interval of load, 200 ms by default; reports state the last but one
         * sample.
         */
        public Builder loadReportLag(Duration value) {
            loadReportLag = value;
            return this;
        }

        /** Sets whether orders with stale fencing numbers are refused, true by default. */
        public Builder checksFence(boolean value) {
            checksFence = value;
            return this;
        }

        /** Sets the maximum number of ready and loading models, 2 by default. */
        public Builder maxModels(int value) {
            maxModels = value;
            return this;
        }

        /** Sets how long the engine is down after a poisoned prompt crashes it, 2 s by default. */
        public Builder crashDowntime(Duration value) {
            crashDowntime = value;
            return this;
        }

        /** Sets the weight store. Without one, loading a model takes only the load time. */
        public Builder weightStore(URI value) {
            weightStore = value;
            return this;
        }

        /** Sets the time that loading a model takes besides reading its weights, 0 by default. */
        public Builder loadTime(Duration value) {
            loadTime = value;
            return this;
        }

        /** Sets the models that are ready when the engine starts, with their versions. */
        public Builder models(ImmutableMap<String, String> value) {
            models = value;
            return this;
        }

        /** Returns the settings. */
        public EngineSettings build() {
            return new EngineSettings(new Builder(this));
        }
    }
}
