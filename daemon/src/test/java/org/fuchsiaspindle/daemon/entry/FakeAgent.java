package org.fuchsiaspindle.daemon.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.Chunk;
import org.fuchsiaspindle.wire.proto.Execute;
import org.fuchsiaspindle.wire.proto.Executed;
import org.fuchsiaspindle.wire.proto.Finished;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.proto.Refused;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.proto.Started;
import org.fuchsiaspindle.wire.proto.Usage;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.fuchsiaspindle.wire.transport.FleetIdentity;
import org.fuchsiaspindle.wire.transport.FleetListener;
import org.fuchsiaspindle.wire.transport.FleetTransport;
import org.fuchsiaspindle.wire.transport.Peer;

/** An agent with scripted responses, on a real connection. */
public final class FakeAgent implements FleetListener, AutoCloseable {

    /** Secret of the fleet in tests. */
    public static final String SECRET = "0123456789abcdef-test";

    private final String id;
    private final LoadReport report;
    private final FleetTransport transport;
    private final InetSocketAddress address;
    private final Consumer<Exchange> script;
    private final List<Execute> received = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Frame> others = new LinkedBlockingQueue<>();

    private FakeAgent(String id, String target, LoadReport report, Consumer<Exchange> script) {
        this.id = id;
        this.report = report;
        this.script = script;
        transport =
                FleetTransport.create(
                        FleetIdentity.of(
                                new Peer(id, "1", Role.ROLE_AGENT, "dc-1", target), SECRET),
                        1);
        address =
                transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this);
    }

    /** Starts an agent of an engine with one model. */
    public static FakeAgent engine(String id, String model, Consumer<Exchange> script) {
        return new FakeAgent(
                id,
                id,
                LoadReport.newBuilder().setSequence(1).setCapacity(8).addModels(model).build(),
                script);
    }

    /** Starts an agent of a plain service. */
    public static FakeAgent service(String id, String service, Consumer<Exchange> script) {
        return new FakeAgent(
                id,
                service,
                LoadReport.newBuilder().setSequence(1).setCapacity(8).setService(true).build(),
                script);
    }

    /** Returns the agent as the platform lists it. */
    public ListedInstance listed() {
        return new ListedInstance(
                id,
                ListedInstance.Role.AGENT,
                address,
                "dc-1",
                "region-1",
                false,
                report.getService()
                        ? ListedInstance.TargetKind.SERVICE
                        : ListedInstance.TargetKind.ENGINE,
                "target");
    }

    /** Returns the requests received so far. */
    public List<Execute> received() {
        return received;
    }

    /** Returns the messages other than {@code Execute}. */
    public BlockingQueue<Frame> others() {
        return others;
    }

    @Override
    public void onOpen(FleetConnection connection) {
        connection.send(Frame.newBuilder().setLoadReport(report).build());
    }

    @Override
    public void onFrame(FleetConnection connection, Frame frame) {
        if (frame.getBodyCase() == Frame.BodyCase.EXECUTE) {
            received.add(frame.getExecute());
            script.accept(new Exchange(connection, frame.getStreamId(), frame.getExecute()));
        } else {
            others.add(frame);
        }
    }

    @Override
    public void onClose(FleetConnection connection) {}

    @Override
    public void close() {
        transport.close();
    }

    /**
     * One attempt that the agent received.
     *
     * @param connection the entry's connection
     * @param stream the stream
     * @param execute the request
     */
    public record Exchange(FleetConnection connection, long stream, Execute execute) {

        /** Sends {@code Started}. */
        public Exchange started() {
            return started(execute.getAttempt());
        }

        /** Sends {@code Started} of a given attempt. */
        public Exchange started(int attempt) {
            return send(frame().setStarted(Started.newBuilder().setAttempt(attempt)));
        }

        /** Sends one token per text, starting at an offset. */
        public Exchange tokens(int offset, String... texts) {
            return tokensOf(execute.getAttempt(), offset, texts);
        }

        /** Sends tokens of a given attempt. */
        public Exchange tokensOf(int attempt, int offset, String... texts) {
            for (int i = 0; i < texts.length; i++) {
                send(
                        frame().setChunk(
                                        Chunk.newBuilder()
                                                .setAttempt(attempt)
                                                .setOffset(offset + i)
                                                .setTokenCount(1)
                                                .setText(texts[i])));
            }
            return this;
        }

        /** Ends a model's output. */
        public Exchange finished(int completionTokens) {
            return send(
                    frame().setFinished(
                                    Finished.newBuilder()
                                            .setAttempt(execute.getAttempt())
                                            .setFinishReason("stop")
                                            .setUsage(
                                                    Usage.newBuilder()
                                                            .setPromptTokens(7)
                                                            .setCompletionTokens(completionTokens)
                                                            .setCachedTokens(3))));
        }

        /** Sends {@code Finished} with the given content. */
        public Exchange finished(Finished.Builder finished) {
            return send(frame().setFinished(finished.setAttempt(execute.getAttempt())));
        }

        /** Refuses the attempt. */
        public Exchange refused(int code, Executed executed) {
            return send(
                    frame().setRefused(
                                    Refused.newBuilder()
                                            .setAttempt(execute.getAttempt())
                                            .setCode(code)
                                            .setMessage("refused by the test")
                                            .setExecuted(executed)));
        }

        private Exchange send(Frame.Builder frame) {
            connection.send(frame.build());
            return this;
        }

        private Frame.Builder frame() {
            return Frame.newBuilder().setStreamId(stream);
        }
    }
}
