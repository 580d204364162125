package org.fuchsiaspindle.core.document;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.fuchsiaspindle.core.id.Ids;

/**
 * Reads the fields of one JSON object and collects all errors.
 *
 * <p>Every read returns a usable value even after an error, so that a parser can continue and
 * report all errors; {@link #finish} then throws. Not thread-safe.
 */
public final class DocumentReader {

    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build();

    /** Handling of fields that the parser does not read. */
    public enum UnknownFields {
        /**
         * Unknown fields are errors, because most of them are misspelt names; for new documents.
         */
        REFUSE,
        /**
         * Unknown fields are ignored, because a newer process may have written them; for replicas.
         */
        IGNORE
    }

    private final JsonNode node;
    private final String path;
    private final UnknownFields unknownFields;
    private final List<FieldError> errors;
    private final Set<String> known = new HashSet<>();

    private DocumentReader(
            JsonNode node, String path, UnknownFields unknownFields, List<FieldError> errors) {
        this.node = node;
        this.path = path;
        this.unknownFields = unknownFields;
        this.errors = errors;
    }

    /**
     * Creates a reader of a document's text.
     *
     * @param text the JSON text
     * @param unknownFields how unknown fields are handled
     * @throws InvalidDocumentException if the text is not a JSON object
     */
    public static DocumentReader of(String text, UnknownFields unknownFields) {
        return new DocumentReader(
                parseObject(text),
                "",
                checkNotNull(unknownFields, "unknownFields"),
                new ArrayList<>());
    }

    /**
     * Returns a document as JSON without white space and with sorted fields, so that equal
     * documents have equal text.
     *
     * @throws InvalidDocumentException if the text is not a JSON object
     */
    public static String canonical(String text) {
        try {
            return JSON.writeValueAsString(JSON.convertValue(parseObject(text), TreeMap.class));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a parsed document", e);
        }
    }

    private static JsonNode parseObject(String text) {
        JsonNode parsed;
        try {
            parsed = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw invalid("not valid JSON: " + e.getOriginalMessage());
        }
        if (!parsed.isObject()) {
            throw invalid("not a JSON object");
        }
        return parsed;
    }

    private static InvalidDocumentException invalid(String problem) {
        return new InvalidDocumentException(ImmutableList.of(new FieldError("", problem)));
    }

    /** Adds an error that the caller detected. */
    public void error(String field, String problem) {
        errors.add(new FieldError(path + field, problem));
    }

    /** Returns true if the field is present and not null. */
    public boolean has(String field) {
        known.add(field);
        return node.hasNonNull(field);
    }

    /** Returns a reader of an object field; a missing one is an error if it is required. */
    public DocumentReader object(String field, boolean required) {
        JsonNode value = value(field);
        if (value == null && required) {
            error(field, "missing");
        } else if (value != null && !value.isObject()) {
            error(field, "not an object");
        }
        JsonNode object = value != null && value.isObject() ? value : JSON.createObjectNode();
        return new DocumentReader(object, path + field + ".", unknownFields, errors);
    }

    /** Returns a required integer within bounds. */
    public int requiredInteger(String field, int min, int max) {
        if (value(field) == null) {
            error(field, "missing");
            return min;
        }
        return integer(field, min, min, max);
    }

    /** Returns an integer within bounds, or the default value if the field is missing. */
    public int integer(String field, int defaultValue, int min, int max) {
        return (int) integerValue(field, defaultValue, min, max);
    }

    private long integerValue(String field, long defaultValue, long min, long max) {
        JsonNode value = value(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            error(field, "not an integer: " + value);
            return defaultValue;
        }
        long number = value.longValue();
        if (number < min || number > max) {
            error(field, "not between " + min + " and " + max + ": " + number);
            return defaultValue;
        }
        return number;
    }

    /** Returns a required number greater than 0 and at most a bound. */
    public double requiredPositiveNumber(String field, double max) {
        JsonNode value = value(field);
        if (value == null) {
            error(field, "missing");
        } else if (!value.isNumber()) {
            error(field, "not a number: " + value);
        } else if (!(value.doubleValue() > 0 && value.doubleValue() <= max)) {
            error(field, "not greater than 0 and at most " + max + ": " + value);
        } else {
            return value.doubleValue();
        }
        return 1;
    }

    /**
     * Returns a positive duration given in milliseconds, or the default value if the field is
     * missing.
     */
    public Duration milliseconds(String field, Duration defaultValue, Duration max) {
        return Duration.ofMillis(integerValue(field, defaultValue.toMillis(), 1, max.toMillis()));
    }

    /**
     * Returns a positive duration given in seconds, or the default value if the field is missing.
     */
    public Duration seconds(String field, Duration defaultValue, Duration max) {
        return Duration.ofSeconds(
                integerValue(field, defaultValue.toSeconds(), 1, max.toSeconds()));
    }

    /** Returns a boolean, or the default value if the field is missing. */
    public boolean bool(String field, boolean defaultValue) {
        JsonNode value = value(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            error(field, "not true or false: " + value);
            return defaultValue;
        }
        return value.booleanValue();
    }

    /** Returns a string, or the default value if the field is missing. */
    public String string(String field, String defaultValue) {
        JsonNode value = value(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isTextual()) {
            error(field, "not a string: " + value);
            return defaultValue;
        }
        return value.textValue();
    }

    /** Returns a required string that is not empty. */
    public String requiredString(String field) {
        String text = string(field, "");
        if (text.isEmpty() && (value(field) == null || value(field).isTextual())) {
            error(field, "missing or empty");
        }
        return text;
    }

    /** Returns the valid names in a list, which is empty if the field is missing. */
    public ImmutableList<String> names(String field) {
        return strings(
                field,
                text -> {
                    Ids.checkName("document", text);
                    return text;
                });
    }

    /**
     * Returns the converted elements of a list of strings, which is empty if the field is missing.
     *
     * @param field the field
     * @param convert converts an element; its {@code IllegalArgumentException} is reported as an
     *     error of the element
     */
    public <T> ImmutableList<T> strings(String field, Function<String, T> convert) {
        ImmutableList.Builder<T> converted = ImmutableList.builder();
        Set<String> seen = new HashSet<>();
        int index = 0;
        for (JsonNode element : elements(field)) {
            String name = field + "[" + index++ + "]";
            if (!element.isTextual()) {
                error(name, "not a string: " + element);
            } else if (!seen.add(element.textValue())) {
                error(name, "duplicate value");
            } else {
                try {
                    converted.add(convert.apply(element.textValue()));
                } catch (IllegalArgumentException e) {
                    error(name, e.getMessage());
                }
            }
        }
        return converted.build();
    }

    /**
     * Returns the converted elements of a list of objects, which is empty if the field is missing.
     */
    public <T> ImmutableList<T> objects(String field, Function<DocumentReader, T> convert) {
        ImmutableList.Builder<T> converted = ImmutableList.builder();
        int index = 0;
        for (JsonNode element : elements(field)) {
            String name = field + "[" + index++ + "]";
            if (element.isObject()) {
                DocumentReader reader =
                        new DocumentReader(element, path + name + ".", unknownFields, errors);
                converted.add(convert.apply(reader));
                reader.checkUnknown();
            } else {
                error(name, "not an object");
            }
        }
        return converted.build();
    }

    /** Adds an error for each unknown field of this object, unless unknown fields are ignored. */
    public void checkUnknown() {
        if (unknownFields == UnknownFields.REFUSE) {
            node.fieldNames()
                    .forEachRemaining(
                            field -> {
                                if (!known.contains(field)) {
                                    error(field, "unknown field");
                                }
                            });
        }
    }

    /**
     * Ends the reading of the whole document.
     *
     * @throws InvalidDocumentException with all errors, if there are any
     */
    public void finish() {
        checkUnknown();
        if (!errors.isEmpty()) {
            throw new InvalidDocumentException(errors);
        }
    }

    private Iterable<JsonNode> elements(String field) {
        JsonNode value = value(field);
        if (value == null) {
            return ImmutableList.of();
        }
        if (!value.isArray()) {
            error(field, "not a list");
            return ImmutableList.of();
        }
        return value;
    }

    private JsonNode value(String field) {
        known.add(field);
        return node.hasNonNull(field) ? node.get(field) : null;
    }
}
