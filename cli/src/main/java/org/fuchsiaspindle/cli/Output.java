package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintWriter;
import java.util.function.Supplier;

/** Writes responses as human-readable text or as JSON. */
final class Output {

    private static final ObjectMapper PRETTY =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    /** Form of the output. */
    enum Format {
        text,
        json
    }

    private final PrintWriter out;
    private final Format format;

    Output(PrintWriter out, Format format) {
        this.out = out;
        this.format = format;
    }

    /** Writes the response as JSON, or the given text if the output format is text. */
    void write(JsonNode response, Supplier<String> text) {
        String rendered = format == Format.json ? pretty(response) + "\n" : text.get();
        out.print(rendered);
        out.flush();
    }

    static String pretty(JsonNode json) {
        try {
            return PRETTY.writeValueAsString(json).replace("\r\n", "\n");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON", e);
        }
    }
}
