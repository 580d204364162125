package org.fuchsiaspindle.daemon.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.fuchsiaspindle.daemon.agent.target.ResponseListener;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.daemon.agent.target.TargetExchange;
import org.fuchsiaspindle.daemon.agent.target.TargetRequest;
import org.fuchsiaspindle.wire.proto.Header;
import org.junit.jupiter.api.Test;

/** Guards against an exchange that affects another one with the same target. */
final class TargetConnectionTest {

    private static final TargetRequest CALL =
            new TargetRequest("POST", "/echo", ImmutableList.of(), ByteString.copyFromUtf8("x"));
    private static final TargetRequest STREAM =
            TargetRequest.json(
                    "POST",
                    "/v1/completions",
                    ByteString.copyFromUtf8(
                            "{\"prompt\":\"hold\",\"max_tokens\":1,\"request_id\":\"s\"}"));

    @Test
    void abort_afterTheEnd_doesNotAffectTheNextExchange() {
        try (FakeTarget target = new FakeTarget(0);
                TargetClient client = TargetClient.create(target.url())) {
            Outcome first = new Outcome();
            TargetExchange ended = client.send(CALL, first);
            assertThat(first.ended.join()).isTrue();
            Outcome second = new Outcome();
            client.send(STREAM, second);
            Await.until(() -> target.requests().size() == 1);
            ended.abort();
            target.permit("s", 1);
            assertThat(second.ended.join()).isTrue();
        }
    }

    @Test
    void abort_ofARunningExchange_closesItsConnectionWithoutFurtherEvents() {
        try (FakeTarget target = new FakeTarget(0);
                TargetClient client = TargetClient.create(target.url())) {
            Outcome first = new Outcome();
            TargetExchange running = client.send(STREAM, first);
            Await.until(() -> target.requests().size() == 1);
            running.abort();
            Outcome second = new Outcome();
            client.send(CALL, second);
            assertThat(second.ended.join()).isTrue();
            assertThat(first.ended).isNotDone();
        }
    }

    private static final class Outcome implements ResponseListener {
        private final CompletableFuture<Boolean> ended = new CompletableFuture<>();

        @Override
        public void onHead(int status, ImmutableList<Header> headers) {}

        @Override
        public void onBody(ByteBuffer data) {
            data.position(data.limit());
        }

        @Override
        public void onEnd() {
            ended.complete(true);
        }

        @Override
        public void onFailure(IOException cause) {
            ended.complete(false);
        }
    }
}
