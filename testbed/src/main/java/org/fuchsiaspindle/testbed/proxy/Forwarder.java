package org.fuchsiaspindle.testbed.proxy;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;

/** Forwards the bytes of one direction of a proxied connection and applies the faults. */
final class Forwarder {

    private static final int READ_BYTES = 16 * 1024;
    private static final int MAX_PARTS = 256;
    private static final long POLL_MILLIS = 20;
    private static final long POLL_NANOS = POLL_MILLIS * 1_000_000;
    private static final byte[] END = {};

    private final Socket from;
    private final Socket to;
    private final ImmutableList<LinkFaults> faults;
    private final Runnable onBroken;
    private final Runnable onEnd;
    private final LinkedBlockingQueue<Part> parts = new LinkedBlockingQueue<>();
    private final Semaphore freeParts = new Semaphore(MAX_PARTS);
    private long forwarded;
    private boolean lostBytes;

    private record Part(long readNanos, byte[] bytes) {}

    /**
     * Creates a forwarder, which does nothing until it is started.
     *
     * @param from the socket to read
     * @param to the socket to write
     * @param faults the faults to apply: those of the proxy and those of the connection
     * @param onBroken closes both sockets of the connection
     * @param onEnd called when this direction has ended
     */
    Forwarder(
            Socket from,
            Socket to,
            ImmutableList<LinkFaults> faults,
            Runnable onBroken,
            Runnable onEnd) {
        this.from = from;
        this.to = to;
        this.faults = faults;
        this.onBroken = onBroken;
        this.onEnd = onEnd;
    }

    void start() {
        Thread.ofVirtual().name("proxy-read").start(this::read);
        Thread.ofVirtual().name("proxy-write").start(this::write);
    }

    private void read() {
        byte[] buffer = new byte[READ_BYTES];
        try {
            InputStream in = from.getInputStream();
            while (true) {
                int count = in.read(buffer);
                freeParts.acquire();
                byte[] bytes = count < 0 ? END : Arrays.copyOf(buffer, count);
                parts.add(new Part(System.nanoTime(), bytes));
                if (count < 0) {
                    return;
                }
            }
        } catch (IOException e) {
            if (!isDropping()) {
                onBroken.run();
            }
            parts.add(new Part(System.nanoTime(), END));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write() {
        try {
            OutputStream out = to.getOutputStream();
            boolean open = true;
            while (open) {
                Part part = parts.take();
                awaitDue(part);
                freeParts.release();
                open = forward(out, part.bytes());
            }
        } catch (IOException e) {
            onBroken.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            onEnd.run();
        }
    }

    /** Forwards a part unless it is dropped; returns false after the last part. */
    private boolean forward(OutputStream out, byte[] bytes) throws IOException {
        lostBytes = lostBytes || isDropping();
        boolean end = bytes.length == 0;
        if (lostBytes) {
            return !end;
        }
        if (end) {
            to.shutdownOutput();
            return false;
        }
        if (!writeUpToCut(out, bytes)) {
            onBroken.run();
            return false;
        }
        return true;
    }

    /**
     * Writes bytes up to the position of a cut; returns false if the connection is cut within or
     * after them.
     */
    private boolean writeUpToCut(OutputStream out, byte[] bytes) throws IOException {
        long cutPosition =
                faults.stream().mapToLong(LinkFaults::cutAfter).min().orElse(Long.MAX_VALUE);
        int cutWithin = faults.stream().mapToInt(LinkFaults::cutWithin).min().orElse(bytes.length);
        if (bytes.length > cutWithin) {
            cutPosition = Math.min(cutPosition, forwarded + cutWithin);
        }
        int count = (int) Math.min(bytes.length, Math.max(0, cutPosition - forwarded));
        out.write(bytes, 0, count);
        forwarded += count;
        return forwarded < cutPosition;
    }

    /** Waits until a part is due; polls because the faults may change in the meantime. */
    private void awaitDue(Part part) throws InterruptedException {
        while (!to.isClosed()) {
            long delay = faults.stream().mapToLong(fault -> fault.delay().toNanos()).sum();
            long remainingNanos = part.readNanos() + delay - System.nanoTime();
            if (remainingNanos > 0) {
                LockSupport.parkNanos(Math.min(remainingNanos, POLL_NANOS));
            } else if (awaitReleased()) {
                return;
            }
        }
    }

    private boolean awaitReleased() throws InterruptedException {
        for (LinkFaults fault : faults) {
            if (!fault.awaitReleased(POLL_MILLIS)) {
                return false;
            }
        }
        return true;
    }

    private boolean isDropping() {
        return faults.stream().anyMatch(LinkFaults::isDropping);
    }
}
