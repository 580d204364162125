package org.fuchsiaspindle.daemon.entry.batch;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.MalformedMessageException;
import io.undertow.util.MultipartParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.fuchsiaspindle.core.batch.BatchLimits;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Reads the multipart body of an upload and streams the file to a {@link PartWriter}. Not
 * thread-safe.
 *
 * <p>The body is never buffered as a whole; the size of form fields is limited.
 */
final class UploadReader implements MultipartParser.PartHandler {

    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int MAX_FIELD_BYTES = 4096;
    private static final int MAX_FORM_PARTS = 16;

    /**
     * Maximum body size of an upload: the maximum file size plus 1 MiB for the rest of the form.
     */
    static final long MAX_BODY_BYTES = BatchLimits.MAX_FILE_BYTES + 1024 * 1024;

    private final PartWriter file;
    private final Map<String, String> fields = new HashMap<>();
    private final ByteArrayOutputStream field = new ByteArrayOutputStream();
    private String partName = "";
    private String fileName = "";
    private boolean hasFile;
    private boolean inFile;
    private int formParts;

    private UploadReader(PartWriter file) {
        this.file = file;
    }

    /**
     * Reads the whole body.
     *
     * @throws FuchsiaspindleException with {@code MALFORMED_REQUEST} if the body is not a complete
     *     multipart form with a file
     * @throws IOException if the connection to the caller fails
     */
    static UploadReader read(HttpServerExchange exchange, PartWriter file) throws IOException {
        String type = exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE);
        String boundary =
                type != null && type.startsWith("multipart/form-data")
                        ? Headers.extractQuotedValueFromHeader(type, "boundary")
                        : null;
        if (boundary == null) {
            throw malformed("the content type is not multipart/form-data with a boundary");
        }
        UploadReader reader = new UploadReader(file);
        MultipartParser.ParseState state =
                MultipartParser.beginParse(
                        exchange.getConnection().getByteBufferPool(),
                        reader,
                        boundary.getBytes(StandardCharsets.US_ASCII),
                        "UTF-8");
        byte[] buffer = new byte[BUFFER_BYTES];
        InputStream in = exchange.getInputStream();
        for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
            parse(state, ByteBuffer.wrap(buffer, 0, read));
        }
        if (!state.isComplete()) {
            throw malformed("the multipart body is not complete");
        }
        if (!reader.hasFile) {
            throw malformed("the form has no part named file");
        }
        return reader;
    }

    private static void parse(MultipartParser.ParseState state, ByteBuffer data)
            throws IOException {
        try {
            state.parse(data);
        } catch (MalformedMessageException | IllegalStateException e) {
            throw malformed("the multipart body is malformed: " + e.getMessage());
        }
    }

    String fileName() {
        return fileName;
    }

    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    @Override
    public void beginPart(HeaderMap headers) {
        formParts++;
        if (formParts > MAX_FORM_PARTS) {
            throw malformed("the form has more than " + MAX_FORM_PARTS + " parts");
        }
        String disposition = headers.getFirst(Headers.CONTENT_DISPOSITION);
        if (disposition == null) {
            throw malformed("a form part has no Content-Disposition");
        }
        partName = nullToEmpty(Headers.extractQuotedValueFromHeader(disposition, "name"));
        inFile = "file".equals(partName);
        if (inFile) {
            if (hasFile) {
                throw malformed("the form has two parts named file");
            }
            hasFile = true;
            fileName = nullToEmpty(Headers.extractQuotedValueFromHeader(disposition, "filename"));
        }
        field.reset();
    }

    @Override
    public void data(ByteBuffer buffer) {
        if (inFile) {
            file.write(buffer);
            return;
        }
        if (field.size() + buffer.remaining() > MAX_FIELD_BYTES) {
            throw malformed(
                    "form field " + partName + " has more than " + MAX_FIELD_BYTES + " bytes");
        }
        while (buffer.hasRemaining()) {
            field.write(buffer.get());
        }
    }

    @Override
    public void endPart() {
        if (inFile) {
            file.finish();
        } else {
            fields.put(partName, field.toString(StandardCharsets.UTF_8));
        }
    }

    private static String nullToEmpty(String text) {
        return text == null ? "" : text;
    }

    private static FuchsiaspindleException malformed(String message) {
        return new FuchsiaspindleException(ResultCode.MALFORMED_REQUEST, message);
    }
}
