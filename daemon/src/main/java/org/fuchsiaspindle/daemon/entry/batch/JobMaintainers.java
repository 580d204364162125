package org.fuchsiaspindle.daemon.entry.batch;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.platform.instance.ListedInstance;

/**
 * Chooses the entries that maintain a job, by rendezvous hashing over the listed entries. They scan
 * and expire the job and close its open segments, even if they hold none of its segments.
 * Thread-safe.
 */
final class JobMaintainers {

    /** Two, so that a job is maintained while the instance list still shows a failed entry. */
    private static final int MAINTAINERS_PER_JOB = 2;

    private static final HashFunction HASH = Hashing.sipHash24();

    private static final int MAX_CACHED_DECISIONS = 50_000;

    private final FleetDirectory fleet;
    private final String self;
    private final Map<String, Boolean> decisions = new HashMap<>();
    private Set<String> others = Set.of();

    JobMaintainers(FleetDirectory fleet, String self) {
        this.fleet = fleet;
        this.self = self;
    }

    /** Reads the instance list; clears the cached decisions if the set of entries has changed. */
    synchronized void update() {
        Set<String> listed = new HashSet<>();
        for (ListedInstance instance : fleet.instances()) {
            if (instance.role() == ListedInstance.Role.ENTRY && !instance.leaving()) {
                listed.add(instance.id());
            }
        }
        listed.remove(self);
        if (!listed.equals(others)) {
            others = listed;
            decisions.clear();
        }
    }

    /** Returns true if this entry is one of the job's maintainers. */
    synchronized boolean isMaintainer(String job) {
        if (decisions.size() >= MAX_CACHED_DECISIONS) {
            decisions.clear();
        }
        return decisions.computeIfAbsent(job, this::computeIsMaintainer);
    }

    private boolean computeIsMaintainer(String job) {
        long ownRank = rank(job, self);
        return others.stream().filter(id -> rank(job, id) < ownRank).count() < MAINTAINERS_PER_JOB;
    }

    private static long rank(String job, String instance) {
        return HASH.hashString(job + "/" + instance, StandardCharsets.UTF_8).asLong();
    }
}
