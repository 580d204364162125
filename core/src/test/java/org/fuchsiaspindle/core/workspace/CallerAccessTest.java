package org.fuchsiaspindle.core.workspace;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.junit.jupiter.api.Test;

/** Tests what a caller may do by its key. */
final class CallerAccessTest {

    private static final KeyDigest KEY = KeyDigest.ofKey("key-a");
    private static final KeyDigest OTHER_KEY = KeyDigest.ofKey("key-b");
    private static final KeyDigest UNKNOWN_KEY = KeyDigest.ofKey("key-c");

    private final WorkspaceDirectory directory =
            WorkspaceDirectory.of(
                    List.of(
                            workspace("a", KEY, OptionalInt.of(0)),
                            workspace("b", OTHER_KEY, OptionalInt.empty())));

    private static Workspace workspace(String name, KeyDigest key, OptionalInt priority) {
        return new Workspace(name, ImmutableSet.of(key), priority, Optional.empty());
    }

    private CallerAccess access(boolean keyRequired, KeyDigest... key) {
        return CallerAccess.of(directory, keyRequired, List.of(key).stream().findFirst());
    }

    /** Guards against callers without a known key on routes that are not public. */
    @Test
    void unknownOrMissingKey_isDeniedUnlessTheRouteIsPublic() {
        assertThat(access(true)).isEqualTo(new CallerAccess.Denied());
        assertThat(access(true, UNKNOWN_KEY)).isEqualTo(new CallerAccess.Denied());
        assertThat(access(false)).isEqualTo(new CallerAccess.Anonymous());
        assertThat(access(false, UNKNOWN_KEY)).isEqualTo(new CallerAccess.Anonymous());
    }

    /** Guards against a public route that hides from targets whose request it is. */
    @Test
    void knownKey_namesItsWorkspaceOnPublicRoutesToo() {
        for (boolean keyRequired : new boolean[] {true, false}) {
            assertThat(access(keyRequired, KEY).targetIdentity())
                    .isEqualTo(new TargetIdentity.Named("a"));
        }
    }

    /** Guards against a change of what is served where the configuration has no workspaces. */
    @Test
    void withoutWorkspaces_everyCallerIsAcceptedAndItsHeadersAreForwarded() {
        CallerAccess access =
                CallerAccess.of(WorkspaceDirectory.NONE, true, Optional.of(UNKNOWN_KEY));
        assertThat(access).isEqualTo(new CallerAccess.Open());
        assertThat(access.targetIdentity()).isEqualTo(new TargetIdentity.AsReceived());
        assertThat(access.priority(2)).isEqualTo(2);
    }

    /** Guards against a route whose priority hides that of the workspace. */
    @Test
    void priorityOfTheWorkspace_goesBeforeThatOfTheRoute() {
        assertThat(access(true, KEY).priority(3)).isZero();
        assertThat(access(true, OTHER_KEY).priority(3)).isEqualTo(3);
    }

    /** Guards against a workspace that reads or ends the jobs of another one. */
    @Test
    void jobOfAWorkspace_isUsableWithItsKeysOnly() {
        assertThat(access(true, KEY).mayUseJob("a")).isTrue();
        assertThat(access(true, OTHER_KEY).mayUseJob("a")).isFalse();
        assertThat(access(true, UNKNOWN_KEY).mayUseJob("a")).isFalse();
        assertThat(access(false).mayUseJob("a")).isFalse();
    }

    /** Guards against results that nobody can fetch once the configuration gets workspaces. */
    @Test
    void jobAcceptedBeforeThereWereWorkspaces_isUsableWithAnyKnownKey() {
        assertThat(access(true, KEY).mayUseJob("")).isTrue();
        assertThat(access(true, UNKNOWN_KEY).mayUseJob("")).isFalse();
    }

    /** Guards against items that change their workspace, or lose it, while their job lives. */
    @Test
    void itemsOfAJob_keepTheWorkspaceThatSubmittedThem() {
        assertThat(TargetIdentity.ofJob(directory, "gone"))
                .isEqualTo(new TargetIdentity.Named("gone"));
        assertThat(TargetIdentity.ofJob(directory, "")).isEqualTo(new TargetIdentity.None());
        assertThat(TargetIdentity.ofJob(WorkspaceDirectory.NONE, ""))
                .isEqualTo(new TargetIdentity.AsReceived());
    }
}
