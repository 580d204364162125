package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads files that are specified on the command line. */
final class DocumentFile {

    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private DocumentFile() {}

    /**
     * Reads a JSON object from a file, or from standard input if it is named {@code -}.
     *
     * @throws CliException if the file cannot be read or does not contain exactly one valid JSON
     *     object
     */
    static ObjectNode readObject(String file) {
        try {
            if (JSON.readTree(read(file)) instanceof ObjectNode object) {
                return object;
            }
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCodes.USAGE,
                    file + ": not valid JSON: " + e.getOriginalMessage(),
                    List.of(),
                    e);
        }
        throw new CliException(ExitCodes.USAGE, file + ": not a JSON object");
    }

    /** Reads the non-blank lines, without leading and trailing white space. */
    static List<String> readLines(String file) {
        return read(file).lines().map(String::strip).filter(line -> !line.isEmpty()).toList();
    }

    private static String read(String file) {
        try {
            return file.equals("-")
                    ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CliException(ExitCodes.USAGE, file + ": cannot be read: " + e, List.of(), e);
        }
    }
}
