package org.fuchsiaspindle.daemon.agent;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.fuchsiaspindle.wire.proto.BatchItem;
import org.fuchsiaspindle.wire.proto.BatchItems;
import org.fuchsiaspindle.wire.proto.Execute;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.proto.Order;
import org.fuchsiaspindle.wire.proto.RequestKind;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.fuchsiaspindle.wire.transport.FleetIdentity;
import org.fuchsiaspindle.wire.transport.FleetListener;
import org.fuchsiaspindle.wire.transport.FleetTransport;
import org.fuchsiaspindle.wire.transport.Peer;

/** An entry that records all messages that it receives from an agent. */
final class FakeEntry implements AutoCloseable {

    /** Time after which a test fails if its condition does not hold. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final FleetTransport transport;
    private final FleetConnection connection;
    private final List<Frame> frames = new CopyOnWriteArrayList<>();

    FakeEntry(String id, String secret, InetSocketAddress agent) {
        transport =
                FleetTransport.create(
                        FleetIdentity.of(new Peer(id, "1", Role.ROLE_ENTRY, "dc-1", ""), secret),
                        1);
        connection =
                transport
                        .connect(
                                agent,
                                new FleetListener() {
                                    @Override
                                    public void onOpen(FleetConnection opened) {}

                                    @Override
                                    public void onFrame(FleetConnection from, Frame frame) {
                                        frames.add(frame);
                                    }

                                    @Override
                                    public void onClose(FleetConnection closed) {}
                                })
                        .join();
    }

    long send(Execute.Builder execute) {
        long stream = connection.nextStreamId();
        send(Frame.newBuilder().setStreamId(stream).setExecute(execute).build());
        return stream;
    }

    long sendOrder(Order.Builder order) {
        long stream = connection.nextStreamId();
        send(Frame.newBuilder().setStreamId(stream).setOrder(order).build());
        return stream;
    }

    void send(Frame frame) {
        connection.send(frame);
    }

    void sendItems(BatchItem... items) {
        send(
                Frame.newBuilder()
                        .setBatchItems(BatchItems.newBuilder().addAllItems(List.of(items)))
                        .build());
    }

    /** Waits until the agent closes the connection. */
    void awaitClosed() {
        Await.until(() -> !connection.isOpen());
    }

    /** Waits for the first message that matches. */
    Frame await(Predicate<Frame> condition) {
        return awaitValue(all -> all.stream().filter(condition).findFirst().orElse(null));
    }

    /** Waits for the last message of a stream. */
    Frame awaitEnd(long stream) {
        return await(
                frame ->
                        frame.getStreamId() == stream
                                && (frame.hasFinished() || frame.hasRefused()));
    }

    /** Waits for the newest report to match. */
    LoadReport awaitReport(Predicate<LoadReport> condition) {
        return awaitValue(
                all -> {
                    LoadReport last = null;
                    for (Frame frame : all) {
                        last = frame.hasLoadReport() ? frame.getLoadReport() : last;
                    }
                    return last != null && condition.test(last) ? last : null;
                });
    }

    List<Frame> frames() {
        return frames;
    }

    /** Returns the text of all chunks of a stream. */
    String text(long stream) {
        return frames.stream()
                .filter(frame -> frame.getStreamId() == stream && frame.hasChunk())
                .map(frame -> frame.getChunk().getText())
                .collect(Collectors.joining());
    }

    @Override
    public void close() {
        transport.close();
    }

    private <T> T awaitValue(Function<List<Frame>, T> query) {
        return Await.until(TIMEOUT, () -> query.apply(frames), () -> "messages: " + frames);
    }

    static Execute.Builder completion(String requestId, String prompt, int tokens) {
        return Execute.newBuilder()
                .setRequestId(requestId)
                .setAttempt(1)
                .setCustomer("c1")
                .setKind(RequestKind.REQUEST_KIND_TEXT)
                .setTarget("m1")
                .setRepeatable(true)
                .setWeight(1)
                .setBody(body(prompt, tokens));
    }

    static Execute.Builder call(String requestId, String path) {
        return Execute.newBuilder()
                .setRequestId(requestId)
                .setAttempt(1)
                .setCustomer("c1")
                .setKind(RequestKind.REQUEST_KIND_SERVICE)
                .setMethod("POST")
                .setPath(path)
                .setBody(ByteString.copyFromUtf8("hello"));
    }

    static BatchItem item(String job, int index, String prompt, int tokens) {
        return BatchItem.newBuilder()
                .setJobId(job)
                .setItem(index)
                .setEpoch(1)
                .setAttempt(1)
                .setCustomer("c1")
                .setWeight(1)
                .setKind(RequestKind.REQUEST_KIND_TEXT)
                .setModel("m1")
                .setTimeLeftMs(3_600_000)
                .setBody(body(prompt, tokens))
                .build();
    }

    private static ByteString body(String prompt, int tokens) {
        return ByteString.copyFromUtf8(
                "{\"model\":\"m1\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + tokens + "}");
    }
}
