package org.fuchsiaspindle.core.workspace;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.fuchsiaspindle.core.contract.KeyDigest;

/**
 * What the configuration in force allows a caller by its key. Immutable.
 *
 * <p>The key itself is not known here, only its digest.
 */
public sealed interface CallerAccess {

    /** The configuration has no workspaces, so keys have no meaning. */
    record Open() implements CallerAccess {}

    /** A caller without a known key, who may use public routes only. */
    record Anonymous() implements CallerAccess {}

    /**
     * A caller with the key of a workspace.
     *
     * @param workspace the workspace in the version of the configuration that was asked, not null
     */
    record Member(Workspace workspace) implements CallerAccess {

        /** Validates the components. */
        public Member {
            checkNotNull(workspace, "workspace");
        }
    }

    /** A caller without a known key where one is required. */
    record Denied() implements CallerAccess {}

    /**
     * Returns the access of a caller.
     *
     * @param directory the workspaces of the configuration in force, not null
     * @param keyRequired whether only callers with a known key are accepted if there are workspaces
     * @param key the digest of the caller's key, empty if it sent none
     */
    static CallerAccess of(
            WorkspaceDirectory directory, boolean keyRequired, Optional<KeyDigest> key) {
        if (directory.isEmpty()) {
            return new Open();
        }
        Optional<Workspace> holder = key.flatMap(directory::holder);
        if (holder.isPresent()) {
            return new Member(holder.get());
        }
        return keyRequired ? new Denied() : new Anonymous();
    }

    /** Returns the name of the caller's workspace, empty if it has none. */
    default String workspaceName() {
        return switch (this) {
            case Member member -> member.workspace().name();
            case Open open -> "";
            case Anonymous anonymous -> "";
            case Denied denied -> "";
        };
    }

    /** Returns the priority of a request of this caller on a route with the given priority. */
    default int priority(int routePriority) {
        return switch (this) {
            case Member member -> member.workspace().priority().orElse(routePriority);
            case Open open -> routePriority;
            case Anonymous anonymous -> routePriority;
            case Denied denied -> routePriority;
        };
    }

    /**
     * Returns whether the caller may read, repeat or end a job.
     *
     * <p>A job without a workspace was accepted before the configuration had workspaces. Nobody
     * else can claim it, so every caller with a known key may use it; otherwise its client could
     * never fetch the results that it was promised.
     *
     * @param jobWorkspace the name of the workspace that submitted the job, empty for none
     */
    default boolean mayUseJob(String jobWorkspace) {
        return switch (this) {
            case Open open -> true;
            case Member member ->
                    jobWorkspace.isEmpty() || jobWorkspace.equals(member.workspace().name());
            case Anonymous anonymous -> jobWorkspace.isEmpty();
            case Denied denied -> false;
        };
    }

    /** Returns how requests of the caller name its workspace to targets. */
    default TargetIdentity targetIdentity() {
        return switch (this) {
            case Open open -> new TargetIdentity.AsReceived();
            case Member member -> new TargetIdentity.Named(member.workspace().name());
            case Anonymous anonymous -> new TargetIdentity.None();
            case Denied denied -> new TargetIdentity.None();
        };
    }
}
