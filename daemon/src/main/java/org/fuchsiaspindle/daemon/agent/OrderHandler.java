package org.fuchsiaspindle.daemon.agent;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.placement.FencingGate;
import org.fuchsiaspindle.daemon.agent.target.SmallResponse;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Order;
import org.fuchsiaspindle.wire.proto.OrderResult;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards placement orders to the engine if their fencing number is current.
 *
 * <p>All methods run on the agent's event loop.
 */
final class OrderHandler {

    private static final Logger LOG = LoggerFactory.getLogger(OrderHandler.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String LEASE_KEY = "lease/placement";
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);
    private static final int REDIRECTION = 300;
    private static final int OK = 200;
    private static final int CLIENT_ERROR = 400;
    private static final int CONFLICT = 409;
    private static final int SERVER_ERROR = 500;

    private final FencingGate fence = FencingGate.create();
    private final TableService table;
    private final TargetClient client;
    private final AgentLoop loop;
    private final TargetMonitor monitor;
    private final LoadReporter reporter;
    private final boolean engine;
    private boolean outageLogged;

    /**
     * Identifiers of orders that await a response of the engine; duplicates of these are ignored.
     */
    private final Set<String> inFlight = new HashSet<>();

    OrderHandler(
            TableService table,
            TargetClient client,
            AgentLoop loop,
            TargetMonitor monitor,
            LoadReporter reporter,
            boolean engine) {
        this.table = table;
        this.client = client;
        this.loop = loop;
        this.monitor = monitor;
        this.reporter = reporter;
        this.engine = engine;
    }

    /** Starts to read the placement lease, retrying until the table responds. */
    void start() {
        if (engine) {
            readLease();
        }
    }

    /** Forwards or refuses an order and reports the result. */
    void handle(FleetConnection connection, long streamId, Order order) {
        if (inFlight.contains(order.getOrderId())) {
            return;
        }
        try {
            if (!engine) {
                throw new FuchsiaspindleException(
                        ResultCode.ORDER_REFUSED,
                        "a plain service does not accept placement orders");
            }
            fence.check(order.getFencingNumber());
        } catch (FuchsiaspindleException e) {
            LOG.info(
                    "place: order refused order={} fence={} code={}",
                    order.getOrderId(),
                    order.getFencingNumber(),
                    e.code().number());
            sendResult(connection, streamId, refused(order, e.code(), e.getMessage()));
            return;
        }
        reporter.setFencingNumber(fence.highest());
        inFlight.add(order.getOrderId());
        LOG.info(
                "place: order forwarded order={} action={} model={} fence={}",
                order.getOrderId(),
                order.getAction(),
                order.getModel(),
                order.getFencingNumber());
        forward(connection, streamId, order);
    }

    private void forward(FleetConnection connection, long streamId, Order order) {
        client.send(
                EngineRequests.order(order),
                SmallResponse.of(
                        (status, body) ->
                                loop.execute(
                                        () ->
                                                onEngineResponse(
                                                        connection, streamId, order, status))));
    }

    private void onEngineResponse(
            FleetConnection connection, long streamId, Order order, int status) {
        OrderResult result;
        if (status >= OK && status < REDIRECTION) {
            result = result(order).setAccepted(true).setDone(true).build();
        } else if (status == CONFLICT) {
            result =
                    refused(
                            order,
                            ResultCode.STALE_FENCING_NUMBER,
                            "the engine has accepted a higher fencing number");
        } else if (status >= CLIENT_ERROR && status < SERVER_ERROR) {
            result = refused(order, ResultCode.ORDER_REFUSED, "the engine refused the order");
        } else {
            result =
                    result(order)
                            .setAccepted(true)
                            .setCode(ResultCode.TARGET_FAILED.number())
                            .setMessage("the engine returned status " + status)
                            .build();
        }
        // Orders are idempotent, so the lease holder may send one again, for example after an
        // engine restart.
        inFlight.remove(order.getOrderId());
        monitor.probe();
        sendResult(connection, streamId, result);
    }

    private void readLease() {
        Thread.ofVirtual()
                .name("placement-lease")
                .start(
                        () -> {
                            try {
                                long epoch = epoch(table.read(LEASE_KEY));
                                loop.execute(() -> onLeaseRead(epoch));
                            } catch (FuchsiaspindleException | IOException e) {
                                loop.execute(() -> onLeaseReadFailed(e));
                            }
                        });
    }

    private void onLeaseReadFailed(Exception cause) {
        if (!outageLogged) {
            outageLogged = true;
            LOG.info(
                    "place: cannot read the lease, refusing orders until it is read reason=\"{}\"",
                    cause.getMessage());
        }
        loop.after(RETRY_INTERVAL.toNanos(), this::readLease);
    }

    private void onLeaseRead(long epoch) {
        fence.recordLeaseEpoch(epoch);
        reporter.setFencingNumber(fence.highest());
        LOG.info("place: lease read epoch={}", epoch);
    }

    private static long epoch(Optional<Row> row) throws IOException {
        return row.isEmpty() ? 0 : JSON.readTree(row.get().value()).path("epoch").asLong();
    }

    private void sendResult(FleetConnection connection, long streamId, OrderResult result) {
        connection.send(Frame.newBuilder().setStreamId(streamId).setOrderResult(result).build());
    }

    private OrderResult refused(Order order, ResultCode code, String message) {
        return result(order).setCode(code.number()).setMessage(message).build();
    }

    private OrderResult.Builder result(Order order) {
        return OrderResult.newBuilder()
                .setOrderId(order.getOrderId())
                .setFencingNumber(fence.highest());
    }
}
