package org.fuchsiaspindle.daemon.entry.placement;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.Locale;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.placement.PlacementOrder;

/**
 * The value of the placement lease row.
 *
 * <p>Open orders are part of the row, so that the next holder continues those that the previous
 * holder did not finish.
 *
 * @param holder the instance that holds the lease
 * @param epoch the fencing number, which increases with each change of holder
 * @param nonce unique per write, so that a writer recognizes its own write
 * @param openOrders orders that were issued and are not known to be done
 */
record PlacementRecord(
        String holder, long epoch, String nonce, ImmutableList<PlacementOrder> openOrders) {

    private static final ObjectMapper JSON = new ObjectMapper();

    PlacementRecord {
        checkNotNull(holder, "holder");
        checkArgument(epoch > 0, "epoch not positive: %s", epoch);
        checkNotNull(nonce, "nonce");
        checkNotNull(openOrders, "openOrders");
    }

    byte[] encode() {
        ObjectNode root =
                JSON.createObjectNode()
                        .put("holder", holder)
                        .put("epoch", epoch)
                        .put("nonce", nonce);
        ArrayNode orders = root.putArray("orders");
        for (PlacementOrder order : openOrders) {
            orders.addObject()
                    .put("id", order.id())
                    .put("agent", order.agentId())
                    .put("action", order.action().name().toLowerCase(Locale.ROOT))
                    .put("model", order.model())
                    .put("version", order.version())
                    .put("reason", order.reason());
        }
        try {
            return JSON.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new FuchsiaspindleException(
                    ResultCode.INTERNAL, "cannot encode a placement record", e);
        }
    }

    static PlacementRecord decode(byte[] value) {
        try {
            JsonNode root = JSON.readTree(value);
            ImmutableList.Builder<PlacementOrder> orders = ImmutableList.builder();
            for (JsonNode order : root.path("orders")) {
                orders.add(
                        new PlacementOrder(
                                order.path("id").asText(),
                                order.path("agent").asText(),
                                PlacementOrder.Action.valueOf(
                                        order.path("action").asText().toUpperCase(Locale.ROOT)),
                                order.path("model").asText(),
                                order.path("version").asText(),
                                order.path("reason").asText()));
            }
            return new PlacementRecord(
                    root.path("holder").asText(),
                    root.path("epoch").asLong(),
                    root.path("nonce").asText(),
                    orders.build());
        } catch (IOException e) {
            throw new FuchsiaspindleException(
                    ResultCode.INTERNAL, "cannot decode the placement record", e);
        }
    }
}
