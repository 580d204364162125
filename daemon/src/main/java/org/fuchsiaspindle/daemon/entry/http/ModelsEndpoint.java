package org.fuchsiaspindle.daemon.entry.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.daemon.http.HttpEndpoint;

/** Lists the models that the caller's contract allows. Thread-safe. */
public final class ModelsEndpoint implements HttpEndpoint {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String OWNER = "fuchsiaspindle";

    private final OnlineApi api;

    private ModelsEndpoint(OnlineApi api) {
        this.api = api;
    }

    /** Creates the endpoint of {@code /v1/models}. */
    public static ModelsEndpoint create(OnlineApi api) {
        return new ModelsEndpoint(checkNotNull(api, "api"));
    }

    @Override
    public void handle(HttpServerExchange exchange) throws IOException {
        api.requireMethod(exchange, "GET", "HEAD");
        Contract contract = api.authentication().customer(exchange);
        ConfigSnapshot snapshot = api.config().current();
        String rest = exchange.getRelativePath();
        String name = rest.startsWith("/") ? rest.substring(1) : rest;
        ObjectNode body = name.isEmpty() ? list(contract, snapshot) : one(contract, snapshot, name);
        new ResponseWriter(exchange, api.slowCallers(), api.newId("req_")).json(body.toString());
    }

    private static ObjectNode list(Contract contract, ConfigSnapshot snapshot) {
        ObjectNode root = JSON.createObjectNode().put("object", "list");
        ArrayNode data = root.putArray("data");
        snapshot.models().keySet().stream()
                .filter(contract.models()::contains)
                .sorted()
                .forEach(name -> data.add(model(name)));
        return root;
    }

    private static ObjectNode one(Contract contract, ConfigSnapshot snapshot, String name) {
        if (!snapshot.models().containsKey(name) || !contract.models().contains(name)) {
            throw new FuchsiaspindleException(
                    ResultCode.UNKNOWN_MODEL, "no such model: " + OnlineApi.printable(name));
        }
        return model(name);
    }

    private static ObjectNode model(String name) {
        return JSON.createObjectNode()
                .put("id", name)
                .put("object", "model")
                .put("created", 0)
                .put("owned_by", OWNER);
    }
}
