package org.fuchsiaspindle.gateway.view;

import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.serving.TargetInstance;

/** The registered targets at one version of the store; immutable and thread-safe. */
public final class TargetDirectory {

    /** The directory of a process that has not read the registrations yet. */
    public static final TargetDirectory EMPTY = new TargetDirectory(0, Map.of());

    private final long version;
    private final Map<String, TargetInstance> targets;

    private TargetDirectory(long version, Map<String, TargetInstance> targets) {
        this.version = version;
        this.targets = targets;
    }

    /** Returns a directory of the targets at a version of the store. */
    public static TargetDirectory of(long version, Map<String, TargetInstance> targets) {
        return new TargetDirectory(version, Map.copyOf(targets));
    }

    /** Returns the version of the store at which the targets were read. */
    public long version() {
        return version;
    }

    /** Returns all targets by identifier, as an immutable map. */
    public Map<String, TargetInstance> targets() {
        return targets;
    }

    /** Returns a target, or empty if it is not registered. */
    public Optional<TargetInstance> target(String id) {
        return Optional.ofNullable(targets.get(id));
    }
}
