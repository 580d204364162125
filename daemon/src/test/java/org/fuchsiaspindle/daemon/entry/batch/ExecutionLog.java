package org.fuchsiaspindle.daemon.entry.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsiaspindle.wire.proto.BatchItem;

/** Records the executions of the simulated agents and the calls to the simulated table. */
final class ExecutionLog {

    private final Map<String, Set<String>> responses = new HashMap<>();
    private final Map<String, Long> lastDispatchNanos = new HashMap<>();
    private final Set<String> tableCalls = new HashSet<>();
    private final List<String> dispatchOrder = new ArrayList<>();
    private int resumedDispatches;
    private int executions;
    private int targetsLost;

    /** Records an execution and returns its response, which is unique to the execution. */
    String execute(BatchItem item, String body) {
        executions++;
        String content = body.replaceAll(".*\"say ([^\"]*)\".*", "$1");
        String response = "answer to " + content + " run " + executions;
        responses
                .computeIfAbsent(item.getJobId() + "/" + content, key -> new HashSet<>())
                .add(response);
        return response;
    }

    void dispatched(BatchItem item, long nowNanos) {
        resumedDispatches += item.getResumeText().isEmpty() ? 0 : 1;
        if (item.getAttempt() == 1) {
            dispatchOrder.add(item.getJobId());
        }
        lastDispatchNanos.put(item.getJobId(), nowNanos);
    }

    void tableCall(String call) {
        tableCalls.add(call);
    }

    /** Returns the distinct table calls since the last invocation and clears them. */
    Set<String> takeTableCalls() {
        Set<String> calls = Set.copyOf(tableCalls);
        tableCalls.clear();
        return calls;
    }

    /** Returns the number of dispatches that carried output of an earlier attempt. */
    int resumedDispatches() {
        return resumedDispatches;
    }

    void targetLost() {
        targetsLost++;
    }

    /** Returns true if a target returned this response for this item of this job. */
    boolean isResponse(String job, String customId, String response) {
        return responses.getOrDefault(job + "/" + customId, Set.of()).contains(response);
    }

    /** Returns the time at which an item of the job last reached an agent, 0 if none did. */
    long lastDispatchNanos(String job) {
        return lastDispatchNanos.getOrDefault(job, 0L);
    }

    /** Returns the jobs of all first attempts in the order of their arrival at agents. */
    List<String> dispatchOrder() {
        return List.copyOf(dispatchOrder);
    }

    int executions() {
        return executions;
    }

    int targetsLost() {
        return targetsLost;
    }
}
