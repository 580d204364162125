package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaspindle.testbed.emulator.GatewayFixture.await;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.fuchsiaspindle.daemon.agent.target.ResponseListener;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.daemon.agent.target.TargetRequest;
import org.fuchsiaspindle.wire.proto.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a target whose bytes never end and that takes the memory of its agent. */
final class EndlessTargetTest {

    private static final String TARGET_IP = "127.0.2.10";

    /** Far more than a client has to read to notice. */
    private static final long MAX_BYTES_READ = 24L << 20;

    private static final Duration MAX_TIME = Duration.ofSeconds(5);

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

    private EndlessServer server;
    private TargetClient client;

    @AfterEach
    void stop() {
        client.close();
        server.close();
    }

    @Test
    void headWithoutEnd_isCutOff() throws Exception {
        assertExchangeFails(HEAD, "X-Filler: more\r\n");
    }

    @Test
    void headerLineWithoutEnd_isCutOff() throws Exception {
        assertExchangeFails(HEAD + "X-Filler: ", "more");
    }

    @Test
    void bytesThatAreNoAnswer_areCutOff() throws Exception {
        assertExchangeFails("", "no answer ");
    }

    @Test
    void interimResponsesWithoutEnd_areCutOff() throws Exception {
        assertExchangeFails("", "HTTP/1.1 102 Processing\r\n\r\n");
    }

    @Test
    void chunkExtensionWithoutEnd_isCutOff() throws Exception {
        assertExchangeFails(HEAD + "Transfer-Encoding: chunked\r\n\r\n5;extension=", "more");
    }

    @Test
    void trailersWithoutEnd_areCutOff() throws Exception {
        assertExchangeFails(
                HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: more\r\n");
    }

    private void assertExchangeFails(String start, String filler) throws Exception {
        server = EndlessServer.start(TARGET_IP, start, filler);
        client = TargetClient.create(URI.create("http://" + TARGET_IP + ":" + server.port()));
        Outcome outcome = new Outcome();
        client.send(TargetRequest.withoutBody("GET", "/"), outcome);
        await("the exchange has ended", MAX_TIME, outcome.failed::isDone);
        assertThat(outcome.failed.join()).isTrue();
        await("the connection is closed", MAX_TIME, () -> server.openAnswers() == 0);
        assertThat(server.sentBytes()).isLessThan(MAX_BYTES_READ);
    }

    /** Records whether an exchange ended with a failure. */
    private static final class Outcome implements ResponseListener {

        private final CompletableFuture<Boolean> failed = new CompletableFuture<>();

        @Override
        public void onHead(int status, ImmutableList<Header> headers) {
            // Only the end counts.
        }

        @Override
        public void onBody(ByteBuffer data) {
            // Only the end counts.
        }

        @Override
        public void onEnd() {
            failed.complete(false);
        }

        @Override
        public void onFailure(IOException cause) {
            failed.complete(true);
        }
    }
}
