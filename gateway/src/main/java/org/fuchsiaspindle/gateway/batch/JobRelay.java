package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.gateway.peer.PeerInfo;
import org.fuchsiaspindle.gateway.peer.PeerMesh;
import org.fuchsiaspindle.platform.channel.Attribution;
import org.fuchsiaspindle.platform.channel.ExchangeFailure;
import org.fuchsiaspindle.platform.channel.ExchangeListener;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.fuchsiaspindle.platform.channel.HttpHeaderUtils;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.ingress.ClientRequest;
import org.fuchsiaspindle.platform.ingress.Refusal;
import org.fuchsiaspindle.platform.target.TargetProtocol;
import org.fuchsiaspindle.platform.target.TargetResponse;

/**
 * Forwards requests on jobs to a gateway that reaches the store while this gateway does not.
 *
 * <p>A request is forwarded at most once. Confined to its event loop.
 */
public final class JobRelay {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(3);

    /** Maximum size of a relayed response; results are read in responses of about 1 MB. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private static final Duration RETRY_AFTER = Duration.ofMillis(400);

    private final EventLoop loop;
    private final PeerMesh mesh;
    private final int clientPort;

    private JobRelay(EventLoop loop, PeerMesh mesh, int clientPort) {
        this.loop = loop;
        this.mesh = mesh;
        this.clientPort = clientPort;
    }

    /** Creates a relay to the port on which all gateways accept clients. */
    public static JobRelay create(EventLoop loop, PeerMesh mesh, int clientPort) {
        return new JobRelay(checkNotNull(loop, "loop"), checkNotNull(mesh, "mesh"), clientPort);
    }

    /** Returns whether another gateway reaches the store and the request was not forwarded yet. */
    boolean canRelay(ClientExchange exchange) {
        return !exchange.request().relayed() && !peersWithStore().isEmpty();
    }

    private List<PeerInfo> peersWithStore() {
        return mesh.peers().stream()
                .filter(peer -> peer.storeReachable() && !peer.stopping())
                .toList();
    }

    /**
     * Forwards a request, or refuses it if no other gateway reaches the store or the request was
     * forwarded before.
     */
    void relay(ClientExchange exchange) {
        List<PeerInfo> peers = peersWithStore();
        if (peers.isEmpty() || exchange.request().relayed()) {
            exchange.refuse(Refusal.notRun(ResultCode.TABLE_UNAVAILABLE, RETRY_AFTER));
            return;
        }
        PeerInfo peer = peers.get(ThreadLocalRandom.current().nextInt(peers.size()));
        HttpConnection.open(
                loop,
                HostAndPort.fromParts(peer.ip(), clientPort),
                CONNECT_TIMEOUT,
                connection -> send(exchange, connection),
                failure ->
                        exchange.refuse(Refusal.notRun(ResultCode.TABLE_UNAVAILABLE, RETRY_AFTER)));
    }

    private void send(ClientExchange exchange, HttpConnection connection) {
        RelayedExchange relayed = new RelayedExchange(exchange, connection);
        exchange.onClientDisconnect(connection::close);
        Duration limit = exchange.request().deadline().orElse(DEFAULT_TIMEOUT);
        relayed.timer = loop.schedule(relayed::expire, limit.toMillis(), TimeUnit.MILLISECONDS);
        connection.send(request(exchange.request()), relayed);
    }

    private static FullHttpRequest request(ClientRequest original) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        original.method(),
                        original.uri(),
                        Unpooled.wrappedBuffer(original.body()));
        HttpHeaderUtils.copyEndToEnd(original.headers(), request.headers());
        // The other gateway looks up the digest; the key itself stays in this process.
        request.headers().remove(HttpHeaderNames.AUTHORIZATION).remove(ClientRequest.KEY_DIGEST);
        original.key().ifPresent(key -> request.headers().set(ClientRequest.KEY_DIGEST, key.hex()));
        request.headers()
                .set(ClientRequest.RELAYED, "1")
                .set(HttpHeaderNames.CONNECTION, "close")
                .set(HttpHeaderNames.CONTENT_LENGTH, original.body().length);
        return request;
    }

    private static final class RelayedExchange implements ExchangeListener {

        private final ClientExchange exchange;
        private final HttpConnection connection;
        private final ByteBuf body = Unpooled.buffer();
        private TargetResponse response;
        private Future<?> timer;

        RelayedExchange(ClientExchange exchange, HttpConnection connection) {
            this.exchange = exchange;
            this.connection = connection;
        }

        @Override
        public Attribution onHead(HttpResponse head) {
            response = TargetProtocol.decode(head);
            return Attribution.OWN;
        }

        @Override
        public void onData(ByteBuf data) {
            if (body.readableBytes() + data.readableBytes() > MAX_RESPONSE_BYTES) {
                expire();
                return;
            }
            body.writeBytes(data);
        }

        @Override
        public void onComplete() {
            // A timer that stays scheduled would keep the request and the response in memory.
            timer.cancel(false);
            exchange.sendResponse(response, body);
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            timer.cancel(false);
            // The other gateway may have stored the job before the connection failed.
            exchange.refuse(Refusal.mayHaveRun(ResultCode.WRITE_OUTCOME_UNKNOWN));
        }

        void expire() {
            if (!exchange.isDone()) {
                connection.close();
                exchange.refuse(Refusal.mayHaveRun(ResultCode.WRITE_OUTCOME_UNKNOWN));
            }
        }
    }
}
