package org.fuchsiaspindle.testbed.integration;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.fleet.EmbeddedFleet;
import org.fuchsiaspindle.testbed.fleet.FleetAdmin;
import org.fuchsiaspindle.testbed.fleet.FleetCaller;
import org.fuchsiaspindle.testbed.fleet.FleetLayout;
import org.fuchsiaspindle.testbed.fleet.ProcessFleet;
import org.fuchsiaspindle.testbed.load.CallKind;
import org.fuchsiaspindle.testbed.load.CallOutcome;
import org.fuchsiaspindle.testbed.load.MarkedCall;

/** A fleet of processes behind proxies, with one model, one service and one customer. */
final class TestFleet implements AutoCloseable {

    static final String MODEL = "small";
    static final String SERVICE = "orders";
    static final String SERVICE_AGENT = "agent-orders";
    static final String KEY = "key-of-the-customer";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ImmutableList<String> MODELS = ImmutableList.of(MODEL);
    private static final ImmutableList<String> SERVICES = ImmutableList.of(SERVICE);

    /** Far above the 3.5 s after which a silent connection is closed, even on a slow machine. */
    private static final int CALL_TIMEOUT_MS = 30_000;

    private final ProcessFleet processes;
    private final FleetAdmin admin;
    private final ImmutableMap<String, FleetCaller> callers;
    private final AtomicInteger calls = new AtomicInteger();

    private TestFleet(
            ProcessFleet processes, FleetAdmin admin, ImmutableMap<String, FleetCaller> callers) {
        this.processes = processes;
        this.admin = admin;
        this.callers = callers;
    }

    /** Starts a fleet and waits until every entry serves calls of all kinds. */
    static TestFleet start(int entries, int engines, String... extraFlags) {
        ProcessFleet processes =
                ProcessFleet.start(FleetLayout.of(entries, engines, MODELS, SERVICES), extraFlags);
        ImmutableMap.Builder<String, FleetCaller> callers = ImmutableMap.builder();
        for (int i = 1; i <= entries; i++) {
            String id = "entry-" + i;
            callers.put(id, FleetCaller.create(processes.entryUrl(id), KEY));
        }
        FleetAdmin admin =
                FleetAdmin.create(processes.entryUrl("entry-1"), EmbeddedFleet.OPERATOR_KEY);
        TestFleet fleet = new TestFleet(processes, admin, callers.buildOrThrow());
        try {
            processes.awaitReady(Await.LIMIT);
            fleet.configure(engines);
            fleet.awaitServing();
            return fleet;
        } catch (RuntimeException | Error e) {
            fleet.close();
            throw e;
        }
    }

    ProcessFleet processes() {
        return processes;
    }

    /** Returns the administration client of the first entry. */
    FleetAdmin admin() {
        return admin;
    }

    FleetCaller caller(String entry) {
        return callers.get(entry);
    }

    ImmutableMap<String, FleetCaller> callers() {
        return callers;
    }

    /** Returns a call with a new unique identifier. */
    MarkedCall newCall(CallKind kind, int tokens) {
        String target = kind == CallKind.STREAMED_COMPLETION ? MODEL : SERVICE;
        return new MarkedCall(kind, "call-" + calls.incrementAndGet(), target, tokens);
    }

    /** Waits until every process is ready and every entry serves calls of all kinds. */
    void awaitServing() {
        processes.awaitReady(Await.LIMIT);
        callers.forEach(
                (entry, caller) -> {
                    for (CallKind kind : CallKind.values()) {
                        Await.until(() -> describeFailure(entry, caller, kind));
                    }
                });
    }

    @Override
    public void close() {
        admin.close();
        callers.values().forEach(FleetCaller::close);
        processes.close();
    }

    private String describeFailure(String entry, FleetCaller caller, CallKind kind) {
        MarkedCall.Result result = newCall(kind, 1).send(caller);
        return result.outcome() == CallOutcome.WHOLE ? "" : entry + " " + kind + " " + result;
    }

    private void configure(int engines) {
        admin.addModel(MODEL, engines, engines);
        ObjectNode service = JSON.createObjectNode().put("timeout_ms", CALL_TIMEOUT_MS);
        service.putArray("rules")
                .addObject()
                .put("method", "GET")
                .put("path_prefix", "/")
                .put("repeatable", true);
        admin.change("service", SERVICE, service);
        ObjectNode contract = FleetAdmin.contract(KEY, MODELS, SERVICES);
        contract.put("request_deadline_ms", CALL_TIMEOUT_MS);
        admin.change("contract", "acme", contract);
    }
}
