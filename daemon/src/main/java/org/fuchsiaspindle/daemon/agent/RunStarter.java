package org.fuchsiaspindle.daemon.agent;

import java.time.Duration;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.daemon.agent.target.TargetRequest;
import org.fuchsiaspindle.wire.proto.BatchItem;
import org.fuchsiaspindle.wire.proto.Execute;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends work to the target. Confined to the agent's event loop. */
final class RunStarter {

    private static final Logger LOG = LoggerFactory.getLogger(RunStarter.class);

    private final TargetClient client;
    private final AgentLoop loop;
    private final Clock clock;
    private final Duration sendTimeout;

    RunStarter(TargetClient client, AgentLoop loop, Clock clock, Duration sendTimeout) {
        this.client = client;
        this.loop = loop;
        this.clock = clock;
        this.sendTimeout = sendTimeout;
    }

    /**
     * Sends work to the target and records its run.
     *
     * @throws FuchsiaspindleException if the work cannot be converted to a request
     */
    void start(Work work, TargetRun.Events events) {
        switch (work) {
            case OnlineWork call when call.isService() -> {
                String requestId = call.execute().getRequestId();
                send(call, requestId, EngineRequests.call(call.execute()), false, events);
            }
            case OnlineWork call -> {
                Execute execute = call.execute();
                String requestId = execute.getRequestId() + "." + execute.getAttempt();
                TargetRequest request =
                        EngineRequests.generate(
                                execute.getKind(),
                                execute.getBody(),
                                requestId,
                                execute.getResumeText(),
                                execute.getResumeTokens());
                send(call, requestId, request, true, events);
            }
            case BatchWork item -> {
                String requestId = requestId(item);
                TargetRequest request =
                        EngineRequests.generate(
                                item.item().getKind(),
                                item.item().getBody(),
                                requestId,
                                item.output(),
                                item.tokens());
                send(item, requestId, request, true, events);
            }
        }
    }

    private void send(
            Work work,
            String requestId,
            TargetRequest request,
            boolean engine,
            TargetRun.Events events) {
        LOG.info(
                "admit: start id={} request={} kind={}",
                work.id(),
                requestId,
                work instanceof OnlineWork ? "online" : "batch");
        long sendDeadlineNanos = clock.nanoTime() + sendTimeout.toNanos();
        work.setRun(
                TargetRun.send(
                        client,
                        request,
                        work,
                        requestId,
                        engine,
                        events,
                        loop,
                        clock,
                        sendDeadlineNanos));
    }

    private static String requestId(BatchWork work) {
        BatchItem item = work.item();
        return item.getJobId()
                + "."
                + item.getItem()
                + "."
                + item.getEpoch()
                + "."
                + item.getAttempt()
                + "."
                + work.nextRun();
    }
}
