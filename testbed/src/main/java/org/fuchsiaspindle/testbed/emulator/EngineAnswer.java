package org.fuchsiaspindle.testbed.emulator;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;

/**
 * An answer of an emulated engine, which can be written whole or with faults.
 *
 * @param status the HTTP status
 * @param headers the header lines, each with its line end
 * @param body the body
 * @param isToHead whether it answers HEAD, so that it declares a length but has no body
 */
record EngineAnswer(int status, String headers, String body, boolean isToHead) {

    private static final int MISSING_BYTES = 5;

    EngineAnswer {
        checkNotNull(headers, "headers");
        checkNotNull(body, "body");
    }

    /** Returns the head of an answer whose body follows in chunks. */
    String chunkedHead() {
        return statusAndHeaders() + "Transfer-Encoding: chunked\r\n\r\n";
    }

    /** Returns the whole answer with its length. */
    String whole() {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return statusAndHeaders() + "Content-Length: " + length + "\r\n\r\n" + writtenBody();
    }

    /** Returns the whole answer without a length, so that it ends with its connection. */
    String unframed() {
        return statusAndHeaders() + "\r\n" + writtenBody();
    }

    /** Returns the answer without the last bytes of its declared length. */
    String truncated() {
        String whole = whole();
        return whole.substring(0, whole.length() - Math.min(MISSING_BYTES, writtenBody().length()));
    }

    private String writtenBody() {
        return isToHead ? "" : body;
    }

    private String statusAndHeaders() {
        return "HTTP/1.1 " + status + " X\r\n" + headers;
    }
}
