package org.fuchsiaspindle.testbed.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Connection;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Request;

/**
 * Answers each request twice: the second time late, when the connection's next request was read.
 *
 * <p>Thread-safe.
 */
final class LateAnswerHandler implements BlockingHttpServer.Handler {

    private final Function<Request, String> answers;
    private final Map<Connection, String> previousAnswers = new ConcurrentHashMap<>();

    /**
     * Creates a handler.
     *
     * @param answers returns the head and the body that answer a request, not null
     */
    LateAnswerHandler(Function<Request, String> answers) {
        this.answers = answers;
    }

    /** Returns the head and the body of an answer with a length. */
    static String answer(int status, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length
                + "\r\n\r\n"
                + body;
    }

    @Override
    public boolean handle(Request request, Connection connection) throws IOException {
        String answer = answers.apply(request);
        String previousAnswer = previousAnswers.put(connection, answer);
        if (previousAnswer != null) {
            connection.write(previousAnswer);
        }
        connection.write(answer);
        return true;
    }

    /** Returns the number of connections on which a request was read. */
    int connections() {
        return previousAnswers.size();
    }
}
