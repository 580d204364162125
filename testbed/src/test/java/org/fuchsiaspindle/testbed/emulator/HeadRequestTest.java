package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.net.HostAndPort;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.platform.channel.Attribution;
import org.fuchsiaspindle.platform.channel.ExchangeFailure;
import org.fuchsiaspindle.platform.channel.ExchangeListener;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against waiting for the body of an answer to HEAD, which has a length but no body. */
final class HeadRequestTest {

    private static final String TARGET_IP = "127.0.2.11";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final int TIMEOUT_SECONDS = 3;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    @Test
    void answerToHead_endsWithItsHeadAndTheNextAnswerHasItsBody() throws Exception {
        try (BlockingHttpServer server =
                BlockingHttpServer.start(TARGET_IP, 0, HeadRequestTest::respond)) {
            HttpConnection connection = connect(server);
            assertThat(bodyBytes(connection, HttpMethod.HEAD)).isZero();
            assertThat(bodyBytes(connection, HttpMethod.GET)).isEqualTo(5);
        }
    }

    private static boolean respond(
            BlockingHttpServer.Request request, BlockingHttpServer.Connection connection)
            throws IOException {
        String body = request.method().equals("HEAD") ? "" : "hello";
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + body);
        return true;
    }

    private HttpConnection connect(BlockingHttpServer server) throws Exception {
        CompletableFuture<HttpConnection> opened = new CompletableFuture<>();
        HttpConnection.open(
                group.next(),
                HostAndPort.fromParts(TARGET_IP, server.port()),
                CONNECT_TIMEOUT,
                opened::complete,
                opened::completeExceptionally);
        return opened.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private int bodyBytes(HttpConnection connection, HttpMethod method) throws Exception {
        Answer answer = new Answer();
        group.next()
                .execute(
                        () ->
                                connection.send(
                                        new DefaultFullHttpRequest(
                                                HttpVersion.HTTP_1_1, method, "/"),
                                        answer));
        return answer.ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Counts the bytes of a body. */
    private static final class Answer implements ExchangeListener {

        private final CompletableFuture<Integer> ended = new CompletableFuture<>();
        private int bytes;

        @Override
        public Attribution onHead(HttpResponse head) {
            return Attribution.OWN;
        }

        @Override
        public void onData(ByteBuf data) {
            bytes += data.readableBytes();
        }

        @Override
        public void onComplete() {
            ended.complete(bytes);
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            ended.completeExceptionally(new IOException("exchange failed: " + failure));
        }
    }
}
