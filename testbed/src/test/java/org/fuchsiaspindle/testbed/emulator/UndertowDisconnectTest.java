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
 * Documents why the gateway serves clients with Netty rather than Undertow: Undertow does not
 * detect that a client has closed its connection while the client's request is running.
 *
 * <p>If this test fails after an update of Undertow, the reason no longer applies and the design
 * document must be revised.
 */
final class UndertowDisconnectTest {

    /**
     * The platform's time limit for stopping a target's work on a request after its client has
     * disconnected.
     */
    private static final long STOP_LIMIT_MILLIS = 500;

    @Test
    void clientDisconnect_isNotDetectedWhileItsRequestRuns() throws Exception {
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
                                                                keepOpen(done, running, closed)))
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
            assertThat(closed.await(STOP_LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isFalse();
        } finally {
            server.stop();
        }
    }

    private static void keepOpen(
            HttpServerExchange exchange, CountDownLatch running, CountDownLatch closed) {
        exchange.dispatch(
                () -> {
                    exchange.getConnection().addCloseListener(connection -> closed.countDown());
                    running.countDown();
                });
    }
}
