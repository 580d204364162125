package fuchsiareview2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound engine: it registers itself, runs `slots` requests at once, queues a few more, rejects
 * what is larger than its memory as if it were full, and streams events with increasing ids. Text
 * of an answer depends on the request's id only, so each engine gives the same.
 */
final class Server {

    /** Told of each run as it begins and as it ends. */
    interface Watch {
        void event(String server, String id, String what);
    }

    private final Platform platform;
    final String id;
    final String service;
    final String ip;
    final int port;
    private final long memoryTokens;
    private final int events;
    private final int eventMs;
    private final int eventBytes;
    private final int firstMs;
    private final Watch watch;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private final Semaphore slots;
    private final AtomicInteger queued = new AtomicInteger();
    private final ServerSocket socket;
    private final int slotCount;
    private volatile boolean up = true;
    private int sequence;

    Server(
            Platform platform,
            String id,
            String service,
            String ip,
            int port,
            int slotCount,
            long memoryTokens,
            int events,
            int eventMs,
            int eventBytes,
            int firstMs,
            Watch watch)
            throws IOException {
        this.platform = platform;
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.port = port;
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.memoryTokens = memoryTokens;
        this.events = events;
        this.eventMs = eventMs;
        this.eventBytes = eventBytes;
        this.firstMs = firstMs;
        this.watch = watch;
        socket = Net.listen(ip, port);
        Net.serve(socket, this::handle);
        Thread.ofVirtual().start(this::beat);
    }

    private void beat() {
        while (up) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("service", service);
            entry.put("address", ip + ":" + port);
            entry.put("zone", "zone-a");
            entry.put("version", "v1");
            entry.put("slots", (long) slotCount);
            entry.put("state", "ready");
            entry.put("coldLeftMs", 0L);
            entry.put("born", born);
            entry.put("sequence", (long) sequence++);
            platform.put("servers", id, Js.write(entry));
            Platform.sleep(1200);
        }
    }

    /** The whole text of the answer to a request, as a batch job lists it. */
    static String wholeText(String request, int events, int eventBytes) {
        StringBuilder text = new StringBuilder();
        for (int event = 1; event <= events; event++) {
            text.append(event == 1 ? "" : "\n").append(data(request, event, eventBytes));
        }
        return text.toString();
    }

    /** Ends at once, like a process that crashes: all channels and the port are closed. */
    void crash() throws IOException {
        up = false;
        socket.close();
        for (Socket channel : open) {
            if (!channel.isClosed()) {
                channel.setSoLinger(true, 0);
                channel.close();
            }
        }
        // The entry is removed after three intervals of silence.
        Thread.ofVirtual()
                .start(
                        () -> {
                            Platform.sleep(3600);
                            platform.remove("servers", id);
                        });
    }

    private static String data(String request, int event, int bytes) {
        String start = request + "-" + event + "-";
        return start + "x".repeat(Math.max(0, bytes - start.length()));
    }

    /**
     * Makes all open channels silent for good, without a reset: what the engine writes on them is
     * lost, and so is what the peer sends, its close too. New channels work.
     */
    void silenceOpenChannels() {
        for (Socket channel : open) {
            if (!channel.isClosed()) {
                silent.add(channel);
            }
        }
    }

    private boolean handle(Net.Message request, OutputStream out, Socket channel)
            throws IOException {
        open.add(channel);
        boolean goesOn = answer(request, out, channel);
        if (silent.contains(channel)) {
            // Neither side hears of the other again, so the channel stays open.
            Platform.sleep(600_000);
        }
        return goesOn;
    }

    private boolean answer(Net.Message request, OutputStream out, Socket channel)
            throws IOException {
        String attempt = request.header("Attempt-Id");
        String echo = "Attempt-Id: " + attempt + "\r\n";
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Net.answer(out, 421, echo + "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (tokens(request.header("Token-Count")) > memoryTokens) {
            watch.event(id, attempt, "rejected: larger than the memory");
            Net.answer(out, 503, echo + "Not-Run: 1\r\n", new byte[0]);
            return true;
        }
        if (queued.incrementAndGet() > 12) {
            queued.decrementAndGet();
            Net.answer(out, 503, echo + "Not-Run: 1\r\n", new byte[0]);
            return true;
        }
        try {
            boolean free = slots.tryAcquire(Long.parseLong("0" + request.header("Deadline-Ms")),
                    TimeUnit.MILLISECONDS);
            queued.decrementAndGet();
            if (!free) {
                Net.answer(out, 503, echo + "Not-Run: 1\r\n", new byte[0]);
                return true;
            }
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
        try {
            run(request, attempt, echo, out, channel);
        } finally {
            slots.release();
        }
        return true;
    }

    private void run(
            Net.Message request, String attempt, String echo, OutputStream out, Socket channel)
            throws IOException {
        long from = Long.parseLong("0" + request.header("Last-Event-Id"));
        watch.event(id, attempt, "run from " + from);
        String head =
                "HTTP/1.1 200 OK\r\n"
                        + echo
                        + "Server-Stamp: stamp-"
                        + id
                        + "\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n";
        Platform.sleep(firstMs);
        // A request begins to run with its first token, so the head comes with the first event.
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        for (long event = from + 1; event <= events; event++) {
            String text = "id: " + event + "\ndata: " + data(attempt, (int) event, eventBytes);
            byte[] bytes = (text + "\n\n").getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream piece = new ByteArrayOutputStream();
            piece.write(start);
            piece.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
            piece.write(bytes);
            piece.write("\r\n".getBytes());
            write(out, channel, attempt, piece.toByteArray());
            start = new byte[0];
            Platform.sleep(eventMs);
        }
        ByteArrayOutputStream last = new ByteArrayOutputStream();
        last.write(start);
        last.write("0\r\n\r\n".getBytes());
        write(out, channel, attempt, last.toByteArray());
        watch.event(id, attempt, silent.contains(channel) ? "done, unheard" : "done");
    }

    private void write(OutputStream out, Socket channel, String attempt, byte[] bytes)
            throws IOException {
        if (silent.contains(channel)) {
            return;
        }
        try {
            out.write(bytes);
            out.flush();
        } catch (IOException closed) {
            watch.event(id, attempt, "dropped, the channel was closed");
            throw closed;
        }
    }

    private static long tokens(String header) {
        long sum = 0;
        for (String count : header.split(",")) {
            sum += Long.parseLong("0" + count.strip());
        }
        return sum;
    }
}
