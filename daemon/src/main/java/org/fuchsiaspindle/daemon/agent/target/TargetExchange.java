package org.fuchsiaspindle.daemon.agent.target;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Map;
import org.fuchsiaspindle.platform.channel.Attribution;
import org.fuchsiaspindle.platform.channel.ExchangeFailure;
import org.fuchsiaspindle.platform.channel.ExchangeListener;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.fuchsiaspindle.wire.proto.Header;

/**
 * One request to the target and its response.
 *
 * <p>All state is confined to the client's event loop; the public methods are thread-safe.
 */
public final class TargetExchange {

    /** Headers that concern one connection, which a proxy must not forward (RFC 9110, 7.6.1). */
    private static final ImmutableSet<String> CONNECTION_HEADERS =
            ImmutableSet.of(
                    "connection",
                    "transfer-encoding",
                    "content-length",
                    "host",
                    "upgrade",
                    "te",
                    "trailer",
                    "expect",
                    "keep-alive",
                    "proxy-connection");

    private final TargetClient client;
    private final TargetRequest request;
    private final ResponseListener listener;
    private HttpConnection connection;
    private boolean closed;
    private boolean paused;

    TargetExchange(TargetClient client, TargetRequest request, ResponseListener listener) {
        this.client = client;
        this.request = request;
        this.listener = listener;
    }

    /**
     * Ends the exchange without further events and closes its connection; no effect after its end.
     */
    public void abort() {
        client.execute(
                () -> {
                    if (!closed) {
                        closed = true;
                        closeConnection();
                    }
                });
    }

    /** Stops reading the response until {@link #resume}; TCP flow control slows down the target. */
    public void pause() {
        client.execute(() -> setPaused(true));
    }

    /** Resumes reading after {@link #pause}. */
    public void resume() {
        client.execute(() -> setPaused(false));
    }

    boolean isClosed() {
        return closed;
    }

    void start(HttpConnection opened) {
        FullHttpRequest httpRequest;
        try {
            httpRequest = toHttpRequest();
        } catch (IllegalArgumentException invalid) {
            opened.close();
            fail(new IOException("request cannot be sent: " + invalid.getMessage(), invalid));
            return;
        }
        if (!listener.onSending()) {
            closed = true;
            httpRequest.release();
            opened.close();
            return;
        }
        connection = opened;
        connection.setReading(!paused);
        connection.send(httpRequest, new ConnectionListener());
        // Without "Connection: close" in the request, so that the target still declares the length
        // of its response, and a truncated one is detected.
        connection.closeAfterExchange();
    }

    void fail(IOException cause) {
        if (closed) {
            return;
        }
        closed = true;
        closeConnection();
        listener.onFailure(cause);
    }

    private void setPaused(boolean newPaused) {
        paused = newPaused;
        if (connection != null && !closed) {
            connection.setReading(!paused);
        }
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
        }
    }

    private FullHttpRequest toHttpRequest() {
        FullHttpRequest httpRequest =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.path(),
                        Unpooled.wrappedBuffer(request.body().asReadOnlyByteBuffer()));
        HttpHeaders headers = httpRequest.headers();
        for (Header header : request.headers()) {
            if (!isConnectionHeader(header.getName())) {
                headers.add(header.getName(), header.getValue());
            }
        }
        headers.set(HttpHeaderNames.HOST, client.host());
        headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().size());
        return httpRequest;
    }

    private static boolean isConnectionHeader(String name) {
        return CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT));
    }

    private static ImmutableList<Header> headers(HttpResponse head) {
        ImmutableList.Builder<Header> headers = ImmutableList.builder();
        for (Map.Entry<String, String> header : head.headers()) {
            if (!isConnectionHeader(header.getKey())) {
                headers.add(
                        Header.newBuilder()
                                .setName(header.getKey())
                                .setValue(header.getValue())
                                .build());
            }
        }
        return headers.build();
    }

    /** Passes the events of the connection on. */
    private final class ConnectionListener implements ExchangeListener {

        @Override
        public Attribution onHead(HttpResponse head) {
            listener.onHead(head.status().code(), headers(head));
            return Attribution.OWN;
        }

        @Override
        public void onData(ByteBuf data) {
            byte[] bytes = new byte[data.readableBytes()];
            data.readBytes(bytes);
            try {
                listener.onBody(ByteBuffer.wrap(bytes));
            } catch (IOException e) {
                fail(e);
            }
        }

        @Override
        public void onComplete() {
            closed = true;
            listener.onEnd();
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            fail(new IOException("exchange failed: " + failure));
        }
    }
}
