package org.fuchsiaspindle.daemon.entry.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.UnsafeByteOperations;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.daemon.entry.dispatch.CallResult;
import org.fuchsiaspindle.daemon.entry.dispatch.OnlineCall;
import org.fuchsiaspindle.daemon.entry.dispatch.OutputSink;
import org.fuchsiaspindle.daemon.entry.limit.CustomerLimits;
import org.fuchsiaspindle.daemon.http.ErrorBody;
import org.fuchsiaspindle.daemon.http.HttpEndpoint;
import org.fuchsiaspindle.wire.proto.RequestKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves chat and text completions. Thread-safe. */
public final class CompletionsEndpoint implements HttpEndpoint {

    private static final Logger LOG = LoggerFactory.getLogger(CompletionsEndpoint.class);
    private static final String END_OF_STREAM = "[DONE]";

    private final OnlineApi api;
    private final boolean chat;

    private CompletionsEndpoint(OnlineApi api, boolean chat) {
        this.api = api;
        this.chat = chat;
    }

    /** Creates the endpoint of {@code /v1/chat/completions}. */
    public static CompletionsEndpoint chat(OnlineApi api) {
        return new CompletionsEndpoint(checkNotNull(api, "api"), true);
    }

    /** Creates the endpoint of {@code /v1/completions}. */
    public static CompletionsEndpoint text(OnlineApi api) {
        return new CompletionsEndpoint(checkNotNull(api, "api"), false);
    }

    @Override
    public void handle(HttpServerExchange exchange) throws IOException {
        api.requireMethod(exchange, "POST");
        api.requireExactPath(exchange);
        Contract contract = api.authentication().customer(exchange);
        byte[] body = RequestBodies.read(exchange, api.maxBodyBytes(), api.bodyBudget());
        CompletionRequest request = CompletionRequest.parse(body, chat);
        api.checkModel(contract, request.model());
        try (CustomerLimits.Permit _ = api.limits().acquire(contract)) {
            respond(exchange, request, call(contract, request, body));
        }
    }

    private OnlineCall call(Contract contract, CompletionRequest request, byte[] body) {
        return new OnlineCall(
                api.newId(chat ? "chatcmpl-" : "cmpl-"),
                contract.customer(),
                chat ? RequestKind.REQUEST_KIND_CHAT : RequestKind.REQUEST_KIND_TEXT,
                request.model(),
                UnsafeByteOperations.unsafeWrap(body),
                contract.urgency(),
                contract.weight(),
                contract.requestDeadline(),
                true,
                "",
                "",
                ImmutableList.of(),
                request.prompt(),
                request.promptTokens(),
                request.maxTokens());
    }

    private void respond(HttpServerExchange exchange, CompletionRequest request, OnlineCall call)
            throws IOException {
        CompletionFormat format =
                new CompletionFormat(
                        chat,
                        call.requestId(),
                        api.clock().wallTime().getEpochSecond(),
                        request.model(),
                        request.includeUsage());
        ResponseWriter writer = new ResponseWriter(exchange, api.slowCallers(), call.requestId());
        if (request.stream()) {
            sendStream(writer, format, call);
        } else {
            sendCompletion(writer, format, call);
        }
    }

    private void sendCompletion(ResponseWriter writer, CompletionFormat format, OnlineCall call)
            throws IOException {
        StringBuilder text = new StringBuilder();
        CallResult result = api.dispatcher().run(call, new Collector(text, writer));
        writer.json(
                format.completion(
                        text.toString(), result.finished().getFinishReason(), result.usage()));
    }

    private void sendStream(ResponseWriter writer, CompletionFormat format, OnlineCall call)
            throws IOException {
        try {
            CallResult result = api.dispatcher().run(call, new Streamer(writer, format));
            sendRole(writer, format);
            writer.event(format.finish(result.finished().getFinishReason()));
            if (format.includeUsage()) {
                writer.event(format.usage(result.usage()));
            }
            writer.event(END_OF_STREAM);
            writer.end();
        } catch (FuchsiaspindleException e) {
            if (!writer.isStreaming()) {
                throw e;
            }
            api.metrics().countRefusal(e.code());
            LOG.info(
                    "http: stream ended with an error request={} code={}",
                    call.requestId(),
                    e.code().number());
            writer.event(ErrorBody.render(e));
            writer.end();
        }
    }

    private static void sendRole(ResponseWriter writer, CompletionFormat format)
            throws IOException {
        if (!writer.isStreaming() && format.chat()) {
            writer.event(format.role());
        }
    }

    private record Collector(StringBuilder text, ResponseWriter writer) implements OutputSink {

        @Override
        public void accept(String chunk) {
            text.append(chunk);
        }

        @Override
        public boolean isCallerDisconnected() {
            return writer.isCallerDisconnected();
        }
    }

    private record Streamer(ResponseWriter writer, CompletionFormat format) implements OutputSink {

        @Override
        public void accept(String chunk) throws IOException {
            sendRole(writer, format);
            if (!chunk.isEmpty()) {
                writer.event(format.text(chunk));
            }
        }

        @Override
        public boolean isCallerDisconnected() {
            return writer.isCallerDisconnected();
        }
    }
}
