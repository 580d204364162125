package org.fuchsiaspindle.daemon.entry.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.daemon.http.ApiServer;
import org.junit.jupiter.api.Test;
import org.xnio.Options;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Guards against callers that hold a stream indefinitely, and against streams closed by mistake.
 */
final class SlowCallersTest {

    @Test
    void blockedWrite_closesTheConnectionAfterTheLimitOnly() throws Exception {
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        SlowCallers callers = SlowCallers.withoutChecker(clock);
        AtomicInteger closed = new AtomicInteger();
        Closeable connection = closed::incrementAndGet;
        callers.runWrite(
                connection,
                () -> {
                    clock.advance(SlowCallers.WRITE_TIMEOUT.minusNanos(1));
                    callers.closeBlockedConnections();
                    assertThat(closed).hasValue(0);
                    clock.advance(SlowCallers.WRITE_TIMEOUT);
                    callers.closeBlockedConnections();
                    assertThat(closed).hasValue(1);
                });
        clock.advance(SlowCallers.WRITE_TIMEOUT);
        callers.closeBlockedConnections();
        assertThat(closed).hasValue(1);
    }

    /**
     * Guards against connections closed by the server's read timeout, which expires if the caller
     * check runs when a request is older than 30 s.
     */
    @Test
    void callerCheck_suspendsTheReadTimeoutForTheRequestOnly() throws Exception {
        try (ApiServer server =
                        ApiServer.start(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                1024,
                                1,
                                ImmutableMap.of("/", SlowCallersTest::sendTimeouts));
                HttpClient client = HttpClient.newHttpClient()) {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://127.0.0.1:" + server.address().getPort()))
                            .build();
            for (int i = 0; i < 2; i++) {
                assertThat(client.send(request, HttpResponse.BodyHandlers.ofString()).body())
                        .isEqualTo("gone=false before=30000 after=0");
            }
        }
    }

    private static void sendTimeouts(HttpServerExchange exchange) throws IOException {
        ConduitStreamSourceChannel source =
                ((HttpServerConnection) exchange.getConnection()).getChannel().getSourceChannel();
        int before = source.getOption(Options.READ_TIMEOUT);
        ResponseWriter writer =
                new ResponseWriter(
                        exchange, SlowCallers.withoutChecker(Clock.system()), "request-1");
        boolean callerDisconnected = writer.isCallerDisconnected();
        int after = source.getOption(Options.READ_TIMEOUT);
        writer.json("gone=" + callerDisconnected + " before=" + before + " after=" + after);
    }
}
