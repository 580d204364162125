package org.fuchsiaspindle.core.config;

import org.fuchsiaspindle.core.document.DocumentReader;
import org.fuchsiaspindle.core.document.DocumentReader.UnknownFields;
import org.fuchsiaspindle.core.id.Ids;

/** Parses model documents: {@code version}, {@code min_copies}, {@code max_copies}. */
public final class ModelParser {

    private static final int MAX_COPIES = 100_000;

    private ModelParser() {}

    /**
     * Parses a document.
     *
     * @param name the model's name
     * @param json the document
     * @param unknownFields how unknown fields are handled
     * @throws org.fuchsiaspindle.core.document.InvalidDocumentException with all errors
     */
    public static ModelDefinition parse(String name, String json, UnknownFields unknownFields) {
        DocumentReader reader = DocumentReader.of(json, unknownFields);
        if (!Ids.isName(name)) {
            reader.error("", "invalid model name: " + name);
        }
        String version = reader.requiredString("version");
        int min = reader.integer("min_copies", 1, 0, MAX_COPIES);
        int max = reader.integer("max_copies", MAX_COPIES, 0, MAX_COPIES);
        if (max < min) {
            reader.error("max_copies", "below min_copies " + min + ": " + max);
        }
        reader.finish();
        return new ModelDefinition(name, version, min, max);
    }
}
