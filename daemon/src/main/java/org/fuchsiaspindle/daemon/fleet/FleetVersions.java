package org.fuchsiaspindle.daemon.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.PeerStatus;
import org.fuchsiaspindle.wire.proto.ProcessVersion;

/**
 * The configuration versions in force in the processes of the fleet, as far as this entry knows.
 *
 * <p>Thread-safe. An entry knows the versions of the processes that it is connected to, and,
 * through the statuses of its peers, those of the processes that its peers are connected to.
 */
public final class FleetVersions {

    /**
     * Maximum number of versions in one status. In a fleet with more processes the lowest versions
     * are sent, because a caller that waits for a version waits for the processes that lag behind.
     */
    private static final int MAX_VERSIONS = 64;

    /** Older observations are not used, because the process may have been replaced. */
    private static final Duration MAX_AGE = Duration.ofSeconds(5);

    private final String self;
    private final LongSupplier ownVersion;
    private final FleetDirectory directory;
    private final LoadReports reports;
    private final PeerStatuses statuses;
    private final Clock clock;

    /**
     * The configuration version of a process, as far as it is known.
     *
     * @param instance the process's instance
     * @param version configuration version in force in the process, empty if it is not known
     * @param age time since the version was observed, zero if it is not known
     */
    public record InstanceVersion(ListedInstance instance, OptionalLong version, Duration age) {

        /**
         * Returns true if the process is known to have the given version or a newer one in force.
         */
        public boolean isAtLeast(long minVersion) {
            return version.isPresent() && version.getAsLong() >= minVersion;
        }
    }

    /** A version and the monotonic time at which it was in force. */
    private record Observation(long version, long nanos) {}

    private FleetVersions(
            String self,
            LongSupplier ownVersion,
            FleetDirectory directory,
            LoadReports reports,
            PeerStatuses statuses,
            Clock clock) {
        this.self = checkNotNull(self, "self");
        this.ownVersion = checkNotNull(ownVersion, "ownVersion");
        this.directory = checkNotNull(directory, "directory");
        this.reports = checkNotNull(reports, "reports");
        this.statuses = checkNotNull(statuses, "statuses");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * Creates a view that also sends the versions that this entry observes directly to its peers.
     *
     * @param self identifier of this instance
     * @param ownVersion version in force in this process
     * @param directory the other processes
     * @param reports load reports of the connected agents
     * @param statuses statuses of the connected entries
     * @param clock the clock
     */
    public static FleetVersions create(
            String self,
            LongSupplier ownVersion,
            FleetDirectory directory,
            LoadReports reports,
            PeerStatuses statuses,
            Clock clock) {
        FleetVersions versions =
                new FleetVersions(self, ownVersion, directory, reports, statuses, clock);
        statuses.addContributor(versions::addVersions);
        return versions;
    }

    /** Returns the identifier of this instance. */
    public String self() {
        return self;
    }

    /** Returns the version of each live process, ordered by identifier. */
    public ImmutableList<InstanceVersion> all() {
        long now = clock.nanoTime();
        Map<String, Observation> observed = directlyObserved();
        for (PeerStatuses.Received peer : statuses.all()) {
            for (ProcessVersion version : peer.status().getVersionsList()) {
                long observedNanos =
                        peer.receivedNanos() - TimeUnit.MILLISECONDS.toNanos(version.getAgeMs());
                mergeNewer(
                        observed,
                        version.getInstanceId(),
                        new Observation(version.getConfigVersion(), observedNanos));
            }
        }
        observed.put(self, new Observation(ownVersion.getAsLong(), now));
        return directory.instances().stream()
                .sorted(Comparator.comparing(ListedInstance::id))
                .map(instance -> toInstanceVersion(instance, observed.get(instance.id()), now))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the live processes that are not known to have a version or a newer one in force. */
    public ImmutableList<InstanceVersion> laggingBehind(long version) {
        return all().stream()
                .filter(process -> !process.isAtLeast(version))
                .collect(ImmutableList.toImmutableList());
    }

    private static InstanceVersion toInstanceVersion(
            ListedInstance instance, Observation observed, long now) {
        if (observed == null || now - observed.nanos() > MAX_AGE.toNanos()) {
            return new InstanceVersion(instance, OptionalLong.empty(), Duration.ZERO);
        }
        return new InstanceVersion(
                instance,
                OptionalLong.of(observed.version()),
                Duration.ofNanos(Math.max(0, now - observed.nanos())));
    }

    private Map<String, Observation> directlyObserved() {
        Map<String, Observation> observed = new TreeMap<>();
        for (LoadReports.Received agent : reports.all()) {
            observed.put(
                    agent.connection().peer().instanceId(),
                    new Observation(agent.report().getConfigVersion(), agent.receivedNanos()));
        }
        for (PeerStatuses.Received peer : statuses.all()) {
            observed.put(
                    peer.connection().peer().instanceId(),
                    new Observation(peer.status().getConfigVersion(), peer.receivedNanos()));
        }
        return observed;
    }

    private void addVersions(PeerStatus.Builder status) {
        long now = clock.nanoTime();
        List<ProcessVersion> versions = new ArrayList<>();
        directlyObserved()
                .forEach(
                        (id, observed) ->
                                versions.add(
                                        ProcessVersion.newBuilder()
                                                .setInstanceId(id)
                                                .setConfigVersion(observed.version())
                                                .setAgeMs(
                                                        TimeUnit.NANOSECONDS.toMillis(
                                                                Math.max(
                                                                        0, now - observed.nanos())))
                                                .build()));
        versions.sort(Comparator.comparingLong(ProcessVersion::getConfigVersion));
        status.addAllVersions(versions.subList(0, Math.min(MAX_VERSIONS, versions.size())));
    }

    private static void mergeNewer(
            Map<String, Observation> observed, String id, Observation candidate) {
        observed.merge(id, candidate, (a, b) -> a.nanos() - b.nanos() >= 0 ? a : b);
    }
}
