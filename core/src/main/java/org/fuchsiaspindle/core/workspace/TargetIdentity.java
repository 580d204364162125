package org.fuchsiaspindle.core.workspace;

import static com.google.common.base.Preconditions.checkArgument;

/** How a request names its workspace to the target that runs it. Immutable. */
public sealed interface TargetIdentity {

    /** Whatever the caller sent is forwarded, because there are no workspaces. */
    record AsReceived() implements TargetIdentity {}

    /** The target receives no workspace. */
    record None() implements TargetIdentity {}

    /**
     * The target receives the name of a workspace.
     *
     * @param workspace the name, not empty
     */
    record Named(String workspace) implements TargetIdentity {

        /** Validates the components. */
        public Named {
            checkArgument(!workspace.isEmpty(), "workspace without a name");
        }
    }

    /**
     * Returns the identity of the items of a job, which stays that of the workspace that submitted
     * it, also after its keys have changed.
     *
     * @param directory the workspaces of the configuration in force, not null
     * @param jobWorkspace the name of the workspace that submitted the job, empty for none
     */
    static TargetIdentity ofJob(WorkspaceDirectory directory, String jobWorkspace) {
        if (!jobWorkspace.isEmpty()) {
            return new Named(jobWorkspace);
        }
        return directory.isEmpty() ? new AsReceived() : new None();
    }
}
