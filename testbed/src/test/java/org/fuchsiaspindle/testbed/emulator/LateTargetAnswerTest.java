package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.daemon.agent.target.SmallResponse;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.daemon.agent.target.TargetRequest;
import org.junit.jupiter.api.Test;

/** Guards against a late second answer that an agent takes for the answer to another request. */
final class LateTargetAnswerTest {

    private static final String TARGET_IP = "127.0.2.12";
    private static final int TIMEOUT_SECONDS = 3;

    /** Guards against a run, a probe or a cancellation that gets the answer to the one before. */
    @Test
    void lateSecondAnswer_isNotTheAnswerToTheNextRequest() throws Exception {
        LateAnswerHandler handler =
                new LateAnswerHandler(request -> LateAnswerHandler.answer(200, request.path()));
        try (BlockingHttpServer server = BlockingHttpServer.start(TARGET_IP, 0, handler);
                TargetClient client =
                        TargetClient.create(
                                URI.create("http://" + TARGET_IP + ":" + server.port()))) {
            assertAnsweredWithItsPath(client, call("/orders/1"));
            assertAnsweredWithItsPath(client, call("/orders/2"));
            assertAnsweredWithItsPath(client, TargetRequest.withoutBody("GET", "/v1/models"));
            assertAnsweredWithItsPath(client, TargetRequest.withoutBody("GET", "/v1/load"));
            assertThat(handler.connections()).isEqualTo(4);
        }
    }

    private static TargetRequest call(String path) {
        return new TargetRequest("POST", path, ImmutableList.of(), ByteString.copyFromUtf8("x"));
    }

    private static void assertAnsweredWithItsPath(TargetClient client, TargetRequest request)
            throws Exception {
        CompletableFuture<String> answer = new CompletableFuture<>();
        client.send(
                request, SmallResponse.of((status, body) -> answer.complete(body.toStringUtf8())));
        assertThat(answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(request.path());
    }
}
