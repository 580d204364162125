package org.fuchsiaspindle.gateway.target;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.prompt.TargetCrash;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distinguishes a target that has crashed from one that only broke a connection.
 *
 * <p>After a call has lost its connection, the target is connected to once. If it refuses, its
 * process is gone, and all calls that it had just started to answer may be the reason. Confined to
 * the event loop of the request path.
 */
final class CrashDetector {

    private static final Logger LOG = LoggerFactory.getLogger(CrashDetector.class);

    /** Time to learn of the other connections that a crash breaks at the same moment. */
    private static final Duration COLLECTION_TIME = Duration.ofMillis(20);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** Bounds one log line. */
    private static final int MAX_LOGGED_CALLS = 8;

    private final EventLoop loop;
    private final Map<TargetInstance, List<CallDescription>> lostCalls = new HashMap<>();
    private final Consumer<TargetCrash> listener;

    /**
     * Creates a detector.
     *
     * @param loop its event loop
     * @param listener receives each crash
     */
    CrashDetector(EventLoop loop, Consumer<TargetCrash> listener) {
        this.loop = checkNotNull(loop, "loop");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Records a call that lost its connection although the target had barely started it. */
    void connectionLost(TargetInstance target, CallDescription call) {
        List<CallDescription> calls = lostCalls.get(target);
        if (calls != null) {
            calls.add(call);
            return;
        }
        lostCalls.put(target, new ArrayList<>(List.of(call)));
        loop.schedule(() -> probe(target), COLLECTION_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void probe(TargetInstance target) {
        HttpConnection.open(
                loop,
                target.address(),
                CONNECT_TIMEOUT,
                connection -> {
                    connection.close();
                    lostCalls.remove(target);
                },
                failure -> connectFailed(target, failure));
    }

    private void connectFailed(TargetInstance target, Throwable failure) {
        List<CallDescription> calls = lostCalls.remove(target);
        boolean refused =
                failure instanceof ConnectException
                        && !(failure instanceof ConnectTimeoutException);
        if (!refused) {
            LOG.info(
                    "target: lost calls without a known crash target={} calls={} reason={}",
                    target.id(),
                    calls.size(),
                    failure.getMessage());
            return;
        }
        LOG.info(
                "target: crashed target={} service={} unanswered={} calls={}",
                target.id(),
                target.service(),
                calls.size(),
                describe(calls));
        listener.accept(
                new TargetCrash(
                        target.service(),
                        target.id(),
                        calls.stream()
                                .map(CallDescription::promptParts)
                                .filter(parts -> !parts.isEmpty())
                                .collect(ImmutableList.toImmutableList())));
    }

    private static String describe(List<CallDescription> calls) {
        List<String> texts = new ArrayList<>();
        for (CallDescription call : calls.subList(0, Math.min(calls.size(), MAX_LOGGED_CALLS))) {
            texts.add(call.requestId() + "/" + String.join("+", call.promptParts()));
        }
        return String.join(",", texts);
    }
}
