package org.fuchsiaspindle.daemon.entry.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.UnsafeByteOperations;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.fuchsiaspindle.core.config.ServiceDefinition;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.idempotency.StoredResponse;
import org.fuchsiaspindle.core.routing.PromptPrefixes;
import org.fuchsiaspindle.daemon.entry.dispatch.OnlineCall;
import org.fuchsiaspindle.daemon.entry.dispatch.OutputSink;
import org.fuchsiaspindle.daemon.entry.idempotency.CallKey;
import org.fuchsiaspindle.daemon.entry.limit.CustomerLimits;
import org.fuchsiaspindle.daemon.http.HttpEndpoint;
import org.fuchsiaspindle.wire.proto.Finished;
import org.fuchsiaspindle.wire.proto.Header;
import org.fuchsiaspindle.wire.proto.RequestKind;

/** Forwards calls to plain services. Thread-safe. */
public final class ServicesEndpoint implements HttpEndpoint {

    /** Hop-by-hop headers, and the caller's key, which is never forwarded. */
    private static final ImmutableSet<String> NOT_FORWARDED =
            ImmutableSet.of(
                    "authorization",
                    "proxy-authorization",
                    "proxy-authenticate",
                    "proxy-connection",
                    "connection",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "host",
                    "content-length");

    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

    private final OnlineApi api;

    private ServicesEndpoint(OnlineApi api) {
        this.api = api;
    }

    /** Creates the endpoint of {@code /services/}. */
    public static ServicesEndpoint create(OnlineApi api) {
        return new ServicesEndpoint(checkNotNull(api, "api"));
    }

    @Override
    public void handle(HttpServerExchange exchange) throws IOException {
        Contract contract = api.authentication().customer(exchange);
        ServicePath path = ServicePath.parse(exchange.getRequestURI(), exchange.getQueryString());
        ServiceDefinition service = service(contract, path.service());
        byte[] body = RequestBodies.read(exchange, api.maxBodyBytes(), api.bodyBudget());
        try (CustomerLimits.Permit _ = api.limits().acquire(contract)) {
            OnlineCall call = call(exchange, contract, service, path, body);
            ResponseWriter writer =
                    new ResponseWriter(exchange, api.slowCallers(), call.requestId());
            String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
            sendResponse(
                    exchange,
                    writer,
                    key == null || call.repeatable()
                            ? dispatch(call, new NoOutput(writer::isCallerDisconnected))
                            : dispatchOnce(call, key, body));
        }
    }

    private StoredResponse dispatch(OnlineCall call, OutputSink sink) throws IOException {
        Finished finished = api.dispatcher().run(call, sink).finished();
        return new StoredResponse(
                finished.getStatus(),
                finished.getHeadersList().stream()
                        .filter(header -> isForwarded(header.getName()))
                        .map(
                                header ->
                                        new StoredResponse.Header(
                                                header.getName(), header.getValue()))
                        .collect(ImmutableList.toImmutableList()),
                finished.getBody().toByteArray());
    }

    /**
     * Runs a call to completion even if the caller closes its connection, so that a later call with
     * the same key gets the response.
     */
    private StoredResponse dispatchOnce(OnlineCall call, String key, byte[] body) {
        CallKey callKey =
                CallKey.of(
                        call.customer(),
                        call.target(),
                        key,
                        call.method(),
                        call.path(),
                        body,
                        call.timeLimit());
        return api.idempotentCalls()
                .run(
                        callKey,
                        () -> {
                            try {
                                return dispatch(call, new NoOutput(() -> false));
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
    }

    private ServiceDefinition service(Contract contract, String name) {
        ServiceDefinition service = api.config().current().services().get(name);
        if (service == null) {
            throw new FuchsiaspindleException(
                    ResultCode.UNKNOWN_MODEL, "no such service: " + OnlineApi.printable(name));
        }
        if (!contract.services().contains(name)) {
            throw new FuchsiaspindleException(
                    ResultCode.NOT_ALLOWED, "the contract does not allow service " + name);
        }
        return service;
    }

    private OnlineCall call(
            HttpServerExchange exchange,
            Contract contract,
            ServiceDefinition service,
            ServicePath path,
            byte[] body) {
        String method = exchange.getRequestMethod().toString();
        return new OnlineCall(
                api.newId("call_"),
                contract.customer(),
                RequestKind.REQUEST_KIND_SERVICE,
                service.name(),
                UnsafeByteOperations.unsafeWrap(body),
                contract.urgency(),
                contract.weight(),
                service.timeout(),
                path.isUnambiguous() && service.isRepeatable(method, path.path()),
                method,
                path.pathAndQuery(),
                forwardedHeaders(exchange),
                PromptPrefixes.NONE,
                0,
                0);
    }

    private static ImmutableList<Header> forwardedHeaders(HttpServerExchange exchange) {
        ImmutableList.Builder<Header> headers = ImmutableList.builder();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            String name = values.getHeaderName().toString();
            if (isForwarded(name)) {
                values.forEach(
                        value ->
                                headers.add(
                                        Header.newBuilder().setName(name).setValue(value).build()));
            }
        }
        return headers.build();
    }

    private static void sendResponse(
            HttpServerExchange exchange, ResponseWriter writer, StoredResponse response)
            throws IOException {
        exchange.setStatusCode(response.status());
        response.headers()
                .forEach(
                        header ->
                                exchange.getResponseHeaders()
                                        .add(new HttpString(header.name()), header.value()));
        writer.send(response.body());
    }

    private static boolean isForwarded(String name) {
        return !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT));
    }

    /** Refuses partial output, because a service sends a complete response. */
    private record NoOutput(BooleanSupplier callerDisconnected) implements OutputSink {

        @Override
        public void accept(String text) {
            throw new FuchsiaspindleException(
                    ResultCode.INTERNAL, "a service call produced model output");
        }

        @Override
        public boolean isCallerDisconnected() {
            return callerDisconnected.getAsBoolean();
        }
    }
}
