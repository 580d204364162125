package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.agent.target.ResponseListener;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.daemon.agent.target.TargetRequest;
import org.fuchsiaspindle.wire.proto.Header;
import org.junit.jupiter.api.Test;

/** Guards against waiting for the body of an answer to HEAD, which has a length but no body. */
final class HeadRequestTest {

    private static final String TARGET_IP = "127.0.2.11";
    private static final int TIMEOUT_SECONDS = 3;

    @Test
    void answerToHead_endsWithItsHeadAndTheNextAnswerHasItsBody() throws Exception {
        try (BlockingHttpServer server =
                        BlockingHttpServer.start(TARGET_IP, 0, HeadRequestTest::respond);
                TargetClient client =
                        TargetClient.create(
                                URI.create("http://" + TARGET_IP + ":" + server.port()),
                                Clock.system())) {
            assertThat(bodyBytes(client, "HEAD")).isZero();
            assertThat(bodyBytes(client, "GET")).isEqualTo(5);
        }
    }

    private static boolean respond(
            BlockingHttpServer.Request request, BlockingHttpServer.Connection connection)
            throws IOException {
        String body = request.method().equals("HEAD") ? "" : "hello";
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + body);
        return true;
    }

    private static int bodyBytes(TargetClient client, String method) throws Exception {
        Answer answer = new Answer();
        client.send(TargetRequest.withoutBody(method, "/"), answer);
        return answer.ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Counts the bytes of a body. */
    private static final class Answer implements ResponseListener {

        private final CompletableFuture<Integer> ended = new CompletableFuture<>();
        private int bytes;

        @Override
        public void onHead(int status, ImmutableList<Header> headers) {
            // Only the body counts.
        }

        @Override
        public void onBody(ByteBuffer data) {
            bytes += data.remaining();
        }

        @Override
        public void onEnd() {
            ended.complete(bytes);
        }

        @Override
        public void onFailure(IOException cause) {
            ended.completeExceptionally(cause);
        }
    }
}
