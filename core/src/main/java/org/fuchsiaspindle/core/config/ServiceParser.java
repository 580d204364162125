package org.fuchsiaspindle.core.config;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.regex.Pattern;
import org.fuchsiaspindle.core.config.ServiceDefinition.CallRule;
import org.fuchsiaspindle.core.document.DocumentReader;
import org.fuchsiaspindle.core.document.DocumentReader.UnknownFields;
import org.fuchsiaspindle.core.id.Ids;

/**
 * Parses service documents: {@code rules} (each {@code method}, {@code path_prefix}, {@code
 * repeatable}) and {@code timeout_ms}.
 */
public final class ServiceParser {

    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration MAX_TIMEOUT = Duration.ofHours(1);
    private static final Pattern METHOD = Pattern.compile("\\*|[A-Z]+");

    private ServiceParser() {}

    /**
     * Parses a document.
     *
     * @param name the service's name
     * @param json the document
     * @param unknownFields how unknown fields are handled
     * @throws org.fuchsiaspindle.core.document.InvalidDocumentException with all errors
     */
    public static ServiceDefinition parse(String name, String json, UnknownFields unknownFields) {
        DocumentReader reader = DocumentReader.of(json, unknownFields);
        if (!Ids.isName(name)) {
            reader.error("", "invalid service name: " + name);
        }
        ImmutableList<CallRule> rules = reader.objects("rules", ServiceParser::rule);
        Duration timeout = reader.milliseconds("timeout_ms", DEFAULT_TIMEOUT, MAX_TIMEOUT);
        reader.finish();
        return new ServiceDefinition(name, rules, timeout);
    }

    private static CallRule rule(DocumentReader reader) {
        String method = reader.string("method", "*");
        if (!METHOD.matcher(method).matches()) {
            reader.error("method", "neither * nor an upper-case HTTP method: " + method);
        }
        String prefix = reader.string("path_prefix", "/");
        if (!prefix.startsWith("/")) {
            reader.error("path_prefix", "does not start with a slash: " + prefix);
        }
        if (!reader.has("repeatable")) {
            reader.error("repeatable", "missing");
        }
        return new CallRule(method, prefix, reader.bool("repeatable", false));
    }
}
