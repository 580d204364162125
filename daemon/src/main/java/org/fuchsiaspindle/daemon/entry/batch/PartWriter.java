package org.fuchsiaspindle.daemon.entry.batch;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.batch.BatchLimits;
import org.fuchsiaspindle.core.batch.InputFileValidator;
import org.fuchsiaspindle.core.batch.LineError;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.object.ObjectStore;

/** Splits an input file into lines, validates them and stores them in parts. Not thread-safe. */
final class PartWriter {

    private final ObjectStore objects;
    private final String fileId;
    private final InputFileValidator validator;
    private final List<Integer> parts = new ArrayList<>();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream part = new ByteArrayOutputStream();
    private int linesInPart;
    private int lines;
    private long bytes;
    private boolean lineTooLong;

    PartWriter(ObjectStore objects, String fileId, InputFileValidator validator) {
        this.objects = objects;
        this.fileId = fileId;
        this.validator = validator;
    }

    void write(ByteBuffer data) {
        bytes += data.remaining();
        if (bytes > BatchLimits.MAX_FILE_BYTES) {
            throw tooLarge("the file has more than " + BatchLimits.MAX_FILE_BYTES + " bytes");
        }
        while (data.hasRemaining()) {
            byte next = data.get();
            if (next == '\n') {
                endLine();
            } else if (line.size() < BatchLimits.MAX_LINE_BYTES) {
                line.write(next);
            } else {
                lineTooLong = true;
            }
        }
    }

    void finish() {
        if (line.size() > 0) {
            endLine();
        }
        endPart();
    }

    void deleteParts() {
        for (int number = 0; number < parts.size(); number++) {
            objects.delete(BatchKeys.part(fileId, number));
        }
    }

    List<Integer> parts() {
        return parts;
    }

    long bytes() {
        return bytes;
    }

    private void endLine() {
        byte[] content = withoutCarriageReturn(line.toByteArray());
        line.reset();
        lines++;
        if (lines > BatchLimits.MAX_FILE_LINES) {
            throw tooLarge("the file has more than " + BatchLimits.MAX_FILE_LINES + " lines");
        }
        if (lineTooLong) {
            lineTooLong = false;
            validator.report(
                    new LineError(
                            lines,
                            "line_too_long",
                            "the line has more than " + BatchLimits.MAX_LINE_BYTES + " bytes",
                            ""));
            return;
        }
        if (isBlank(content)) {
            return;
        }
        validator.accept(lines, content);
        if (linesInPart == BatchLimits.MAX_PART_LINES
                || part.size() + content.length + 1 > BatchLimits.MAX_PART_BYTES + 1) {
            endPart();
        }
        part.writeBytes(content);
        part.write('\n');
        linesInPart++;
    }

    private void endPart() {
        if (linesInPart > 0) {
            objects.put(BatchKeys.part(fileId, parts.size()), part.toByteArray());
            parts.add(linesInPart);
            part.reset();
            linesInPart = 0;
        }
    }

    private static byte[] withoutCarriageReturn(byte[] content) {
        int length = content.length;
        return length > 0 && content[length - 1] == '\r'
                ? Arrays.copyOf(content, length - 1)
                : content;
    }

    private static boolean isBlank(byte[] content) {
        for (byte value : content) {
            if (value != ' ' && value != '\t') {
                return false;
            }
        }
        return true;
    }

    private static FuchsiaspindleException tooLarge(String message) {
        return new FuchsiaspindleException(ResultCode.FILE_TOO_LARGE, message);
    }
}
