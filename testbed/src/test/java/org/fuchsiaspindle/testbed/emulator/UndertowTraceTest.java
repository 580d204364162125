package org.fuchsiaspindle.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Records why the platform's clients are served on Netty and not on Undertow.
 *
 * <p>If this test fails after an update of Undertow, the reason no longer holds and the design note
 * has to be revised.
 */
final class UndertowTraceTest {

    /** The platform's bound after which a target must no longer work for a client that left. */
    private static final long BOUND_MILLIS = 500;

    @Test
    void closeOfAClient_isNotSeenWhileItsRequestRuns() throws Exception {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        Undertow server =
                Undertow.builder()
                        .addHttpListener(
                                0,
                                "127.0.0.1",
                                exchange ->
                                        exchange.getRequestReceiver()
                                                .receiveFullBytes(
                                                        (done, body) ->
                                                                hold(done, running, closed)))
                        .build();
        server.start();
        try {
            InetSocketAddress address =
                    (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.getOutputStream()
                        .write(
                                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
                                        .getBytes(StandardCharsets.UTF_8));
                assertThat(running.await(5, TimeUnit.SECONDS)).isTrue();
            }
            assertThat(closed.await(BOUND_MILLIS, TimeUnit.MILLISECONDS)).isFalse();
        } finally {
            server.stop();
        }
    }

    private static void hold(
            HttpServerExchange exchange, CountDownLatch running, CountDownLatch closed) {
        exchange.dispatch(
                () -> {
                    exchange.getConnection().addCloseListener(gone -> closed.countDown());
                    running.countDown();
                });
    }
}
