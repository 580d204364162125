package org.fuchsiaspindle.core.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes the JSON values of batch rows. Thread-safe. */
public final class BatchJson {

    /**
     * The mapper, which ignores unknown fields because a newer process may have written the row.
     */
    public static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private BatchJson() {}

    /** Returns a record as the value of a row. */
    public static byte[] write(Object record) {
        try {
            return MAPPER.writeValueAsBytes(record);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads the value of a row.
     *
     * @throws UncheckedIOException if the bytes do not hold such a record
     */
    public static <T> T read(byte[] value, Class<T> type) {
        try {
            return MAPPER.readValue(value, type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
