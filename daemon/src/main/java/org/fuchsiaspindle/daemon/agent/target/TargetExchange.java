package org.fuchsiaspindle.daemon.agent.target;

import com.google.common.collect.ImmutableList;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.fuchsiaspindle.wire.proto.Header;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request to the target and its response.
 *
 * <p>All state is confined to the client's I/O thread; the public methods are thread-safe.
 */
public final class TargetExchange {

    /** Headers that concern one connection, which a proxy must not forward (RFC 9110, 7.6.1). */
    private static final ImmutableList<HttpString> CONNECTION_HEADERS =
            ImmutableList.of(
                    Headers.CONNECTION,
                    Headers.TRANSFER_ENCODING,
                    Headers.CONTENT_LENGTH,
                    Headers.HOST,
                    Headers.UPGRADE,
                    Headers.TE,
                    Headers.TRAILER,
                    Headers.EXPECT,
                    new HttpString("Keep-Alive"),
                    new HttpString("Proxy-Connection"));

    private final TargetClient client;
    private final TargetRequest request;
    private final ResponseListener listener;
    private ClientConnection connection;
    private StreamSourceChannel source;
    private boolean requestWritten;
    private boolean responseEnded;
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
                    // After its end the connection may already serve another exchange.
                    if (!closed) {
                        closed = true;
                        IoUtils.safeClose(connection);
                    }
                });
    }

    /** Stops reading the response until {@link #resume}; TCP flow control slows down the target. */
    public void pause() {
        client.execute(
                () -> {
                    paused = true;
                    if (source != null) {
                        source.suspendReads();
                    }
                });
    }

    /** Resumes reading after {@link #pause}. */
    public void resume() {
        client.execute(
                () -> {
                    paused = false;
                    if (source != null && !closed) {
                        source.resumeReads();
                    }
                });
    }

    boolean isClosed() {
        return closed;
    }

    void start(ClientConnection opened) {
        if (!listener.onSending()) {
            closed = true;
            client.release(opened);
            return;
        }
        connection = opened;
        connection.getCloseSetter().set(channel -> fail(new IOException("connection closed")));
        connection.sendRequest(
                toClientRequest(),
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange exchange) {
                        exchange.setResponseListener(responseCallback());
                        write(exchange.getRequestChannel());
                    }

                    @Override
                    public void failed(IOException e) {
                        fail(e);
                    }
                });
    }

    void fail(IOException cause) {
        if (closed) {
            return;
        }
        closed = true;
        IoUtils.safeClose(connection);
        listener.onFailure(cause);
    }

    private ClientRequest toClientRequest() {
        ClientRequest clientRequest = new ClientRequest();
        clientRequest.setMethod(new HttpString(request.method()));
        clientRequest.setPath(request.path());
        HeaderMap headers = clientRequest.getRequestHeaders();
        for (Header header : request.headers()) {
            HttpString name = new HttpString(header.getName());
            if (!CONNECTION_HEADERS.contains(name)) {
                headers.add(name, header.getValue());
            }
        }
        headers.put(Headers.HOST, client.host());
        headers.put(Headers.CONTENT_LENGTH, request.body().size());
        return clientRequest;
    }

    private void write(StreamSinkChannel sink) {
        ByteBuffer data = request.body().asReadOnlyByteBuffer();
        sink.getWriteSetter().set(channel -> writeMore(channel, data));
        writeMore(sink, data);
    }

    private void writeMore(StreamSinkChannel sink, ByteBuffer data) {
        try {
            while (data.hasRemaining()) {
                if (sink.write(data) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (sink.flush()) {
                sink.suspendWrites();
                requestWritten = true;
                finishIfComplete();
            } else {
                sink.getWriteSetter().set(this::flush);
                sink.resumeWrites();
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void flush(StreamSinkChannel sink) {
        try {
            if (sink.flush()) {
                sink.suspendWrites();
                requestWritten = true;
                finishIfComplete();
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private ClientCallback<ClientExchange> responseCallback() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                if (closed) {
                    return;
                }
                ClientResponse response = exchange.getResponse();
                listener.onHead(response.getResponseCode(), headers(response));
                source = exchange.getResponseChannel();
                source.getReadSetter().set(channel -> read());
                read();
                if (!responseEnded && !closed && !paused) {
                    source.resumeReads();
                }
            }

            @Override
            public void failed(IOException e) {
                fail(e);
            }
        };
    }

    private void read() {
        ByteBuffer buffer = client.readBuffer();
        try {
            while (!closed && !paused) {
                buffer.clear();
                int count = source.read(buffer);
                if (count == 0) {
                    return;
                }
                if (count < 0) {
                    responseEnded = true;
                    source.suspendReads();
                    finishIfComplete();
                    return;
                }
                buffer.flip();
                listener.onBody(buffer);
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void finishIfComplete() {
        if (!responseEnded || !requestWritten || closed) {
            return;
        }
        closed = true;
        connection.getCloseSetter().set(null);
        client.release(connection);
        listener.onEnd();
    }

    private static ImmutableList<Header> headers(ClientResponse response) {
        ImmutableList.Builder<Header> headers = ImmutableList.builder();
        for (HeaderValues values : response.getResponseHeaders()) {
            if (!CONNECTION_HEADERS.contains(values.getHeaderName())) {
                for (String value : values) {
                    headers.add(
                            Header.newBuilder()
                                    .setName(values.getHeaderName().toString())
                                    .setValue(value)
                                    .build());
                }
            }
        }
        return headers.build();
    }
}
