package org.fuchsiaspindle.gateway.target;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.platform.channel.Attribution;
import org.fuchsiaspindle.platform.channel.HttpConnection;
import org.fuchsiaspindle.platform.target.TargetProtocol;

/**
 * Logs and counts answers that do not follow their requests as the protocol demands.
 *
 * <p>It decides nothing. Confined to the event loop of the request path.
 */
final class AnswerEvents {

    /** An answer that names no request ended its call. */
    static final String WITHOUT_IDENTIFIER = "without_identifier";

    /** An answer that names several requests ended its call. */
    static final String SEVERAL_IDENTIFIERS = "several_identifiers";

    /** An answer that names another request was passed over. */
    static final String OF_ANOTHER_REQUEST = "of_another_request";

    /** An answer was accepted after others had been passed over in the same exchange. */
    static final String ACCEPTED_AFTER_ANOTHER = "accepted_after_another";

    /** Data arrived on an idle connection, after a complete answer. */
    static final String AFTER_COMPLETE = "after_complete";

    private static final int MAX_LOGGED_CHARACTERS = 64;
    private static final String NO_IDENTIFIER = "none";
    private static final CharMatcher NOT_LOGGABLE = CharMatcher.inRange('!', '~').negate();

    private final GatewayMetrics metrics;

    AnswerEvents(GatewayMetrics metrics) {
        this.metrics = checkNotNull(metrics, "metrics");
    }

    /**
     * Records an answer that does not belong to a call or cannot be attributed.
     *
     * @param call the call in progress
     * @param head the head of the answer
     * @param attribution what the head tells; the call goes on after an answer of another request
     *     and ends with one that cannot be attributed
     */
    void notOwn(TargetCall call, HttpResponse head, Attribution attribution) {
        Optional<String> answerRequest = TargetProtocol.requestId(head);
        boolean passedOver = attribution == Attribution.OTHER;
        metrics.countAnswerEvent(event(answerRequest.isPresent(), passedOver));
        DecisionLog.target(
                "answer {} target={} request={} answer_request={} status={} exchanges={}"
                        + " after={}ms",
                passedOver ? "passed over" : "not attributed",
                call.instance().id(),
                call.description().requestId(),
                answerRequest.map(AnswerEvents::loggable).orElse(NO_IDENTIFIER),
                head.status().code(),
                call.exchanges(),
                call.sinceSentMillis());
    }

    private static String event(boolean hasIdentifier, boolean passedOver) {
        if (passedOver) {
            return OF_ANOTHER_REQUEST;
        }
        return hasIdentifier ? SEVERAL_IDENTIFIERS : WITHOUT_IDENTIFIER;
    }

    /** Records that the answer of a call was accepted after others had been passed over. */
    void acceptedAfterOthers(TargetCall call, HttpResponse head, int passedOver) {
        metrics.countAnswerEvent(ACCEPTED_AFTER_ANOTHER);
        DecisionLog.target(
                "answer accepted after others target={} request={} status={} passed_over={}"
                        + " exchanges={} after={}ms",
                call.instance().id(),
                call.description().requestId(),
                head.status().code(),
                passedOver,
                call.exchanges(),
                call.sinceSentMillis());
    }

    /**
     * Records that data arrived on an idle connection.
     *
     * @param target the identifier of the target
     * @param request the identifier of the last request on the connection
     * @param connection the connection, closed
     */
    void dataAfterComplete(String target, String request, HttpConnection connection) {
        metrics.countAnswerEvent(AFTER_COMPLETE);
        DecisionLog.target(
                "bytes after a complete answer target={} request={} exchanges={}",
                target,
                request,
                connection.exchanges());
    }

    /** Returns the start of a value from a target, with a question mark for what breaks a line. */
    static String loggable(String value) {
        String start = value.substring(0, Math.min(value.length(), MAX_LOGGED_CHARACTERS));
        return NOT_LOGGABLE.replaceFrom(start, '?');
    }
}
