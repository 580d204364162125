package fuchsiareview2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Passes channels on, and makes those that are open silent for good; new ones work. */
final class Relay {

    private final String toIp;
    private final int toPort;
    private final Set<AtomicBoolean> open = ConcurrentHashMap.newKeySet();

    Relay(String ip, int port, String toIp, int toPort) throws IOException {
        this.toIp = toIp;
        this.toPort = toPort;
        ServerSocket server = Net.listen(ip, port);
        Thread.ofVirtual().start(() -> accept(server));
    }

    /** Makes the open channels silent; returns their number. */
    int silenceOpenChannels() {
        int count = 0;
        for (AtomicBoolean silent : open) {
            count += silent.getAndSet(true) ? 0 : 1;
        }
        return count;
    }

    private void accept(ServerSocket server) {
        while (true) {
            try {
                Socket from = server.accept();
                Thread.ofVirtual().start(() -> pass(from));
            } catch (IOException failure) {
                return;
            }
        }
    }

    private void pass(Socket from) {
        AtomicBoolean silent = new AtomicBoolean();
        Socket to = new Socket();
        try {
            to.connect(new InetSocketAddress(toIp, toPort), 1000);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
        } catch (IOException failure) {
            close(from);
            return;
        }
        open.add(silent);
        Thread.ofVirtual().start(() -> pump(from, to, silent));
        pump(to, from, silent);
    }

    private void pump(Socket from, Socket to, AtomicBoolean silent) {
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (!silent.get()) {
                    to.getOutputStream().write(buffer, 0, count);
                }
            }
        } catch (IOException failure) {
            // Reset; passed on below as a close.
        }
        if (!silent.get()) {
            open.remove(silent);
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException failure) {
            // Closed already.
        }
    }
}
