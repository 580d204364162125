package org.fuchsiaspindle.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against an unbounded number of connections, and against replacing more than one connection
 * when a member is lost.
 */
final class ConnectionPlanTest {

    @Test
    void choose_inASmallFleet_takesAllAgentsAndLocalEntriesAndOneEntryPerOtherDataCentre() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 13; i++) {
            members.add(agent("agent-" + i, "dc-" + i % 3, "engine-" + i));
        }
        members.add(entry("entry-1", "dc-1"));
        members.add(entry("entry-2", "dc-1"));
        members.add(entry("entry-3", "dc-2"));
        members.add(entry("entry-4", "dc-2"));
        Set<String> chosen = ConnectionPlan.choose("entry-1", "dc-1", members);
        assertThat(chosen).hasSize(13 + 1 + 1).contains("entry-2").doesNotContain("entry-1");
    }

    @Test
    void choose_inALargeSet_isBoundedLocalFirstAndStableWhenAMemberIsLost() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 1700; i++) {
            members.add(agent("agent-" + i, "dc-" + i % 70, "pool"));
        }
        for (int i = 0; i < 400; i++) {
            members.add(entry("entry-" + i, "dc-" + i % 7));
        }
        Set<String> chosen = ConnectionPlan.choose("entry-0", "dc-0", members);
        assertThat(chosen).hasSize(ConnectionPlan.MAX_AGENTS_PER_SET + 8 + 6);
        assertThat(members)
                .filteredOn(member -> !member.entry() && member.dataCentre().equals("dc-0"))
                .allMatch(member -> chosen.contains(member.id()));
        String lost = chosen.stream().filter(id -> id.startsWith("agent")).findFirst().get();
        members.removeIf(member -> member.id().equals(lost));
        Set<String> after = ConnectionPlan.choose("entry-0", "dc-0", members);
        assertThat(chosen).filteredOn(id -> !after.contains(id)).containsExactly(lost);
    }

    @Test
    void choose_withALeavingAgent_doesNotTakeIt() {
        Member leaving = new Member("agent-1", false, "dc-1", "ENGINE", "engine-1", true);
        assertThat(ConnectionPlan.choose("entry-1", "dc-1", List.of(leaving))).isEmpty();
    }

    private static Member agent(String id, String dataCentre, String target) {
        return new Member(id, false, dataCentre, "ENGINE", target, false);
    }

    private static Member entry(String id, String dataCentre) {
        return new Member(id, true, dataCentre, "", "", false);
    }
}
