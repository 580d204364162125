package org.fuchsiaspindle.core.workspace;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.contract.KeyDigest;

/** The workspaces of one version of the configuration; immutable and thread-safe. */
public final class WorkspaceDirectory {

    /** The directory of a configuration without workspaces, which accepts callers without a key. */
    public static final WorkspaceDirectory NONE =
            new WorkspaceDirectory(ImmutableMap.of(), ImmutableMap.of());

    private final ImmutableMap<String, Workspace> byName;
    private final ImmutableMap<KeyDigest, Workspace> byKey;

    private WorkspaceDirectory(
            ImmutableMap<String, Workspace> byName, ImmutableMap<KeyDigest, Workspace> byKey) {
        this.byName = byName;
        this.byKey = byKey;
    }

    /**
     * Creates a directory.
     *
     * @throws IllegalArgumentException if two workspaces have the same name or share a key; the
     *     message names the workspaces
     */
    public static WorkspaceDirectory of(Collection<Workspace> workspaces) {
        Map<String, Workspace> byName = new HashMap<>();
        Map<KeyDigest, Workspace> byKey = new HashMap<>();
        for (Workspace workspace : workspaces) {
            checkArgument(
                    byName.put(workspace.name(), workspace) == null,
                    "two workspaces are named %s",
                    workspace.name());
            for (KeyDigest key : workspace.keys()) {
                Workspace other = byKey.put(key, workspace);
                checkArgument(
                        other == null,
                        "workspaces %s and %s share a key",
                        other == null ? "" : other.name(),
                        workspace.name());
            }
        }
        return new WorkspaceDirectory(ImmutableMap.copyOf(byName), ImmutableMap.copyOf(byKey));
    }

    /** Returns whether callers need no key, because there are no workspaces. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns the workspace that holds a key, empty if none does; O(1). */
    public Optional<Workspace> holder(KeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns a workspace, empty if this version has none of the name. */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns all workspaces, in no particular order. */
    public Collection<Workspace> workspaces() {
        return byName.values();
    }
}
