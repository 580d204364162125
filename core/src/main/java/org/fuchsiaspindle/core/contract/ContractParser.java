package org.fuchsiaspindle.core.contract;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.fuchsiaspindle.core.document.DocumentReader;
import org.fuchsiaspindle.core.document.DocumentReader.UnknownFields;
import org.fuchsiaspindle.core.id.Ids;

/**
 * Parses contract documents.
 *
 * <p>Fields: {@code keys_sha256}, {@code weight}, {@code urgency}, {@code request_deadline_ms},
 * {@code online} ({@code requests_per_second}, {@code burst}, {@code concurrency}; required),
 * {@code batch} ({@code completion_window_s}, {@code max_open_jobs}, {@code max_items_per_job},
 * {@code result_retention_s}), {@code models}, {@code services}.
 */
public final class ContractParser {

    private static final int DEFAULT_URGENCY = 5;
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);
    private static final Duration MAX_DEADLINE = Duration.ofMinutes(10);
    private static final double MAX_RATE = 1_000_000;
    private static final int MAX_COUNT = 1_000_000;
    private static final int MAX_ITEMS = 10_000_000;
    private static final Duration DEFAULT_WINDOW = Duration.ofDays(1);
    private static final Duration MAX_WINDOW = Duration.ofDays(90);
    private static final Duration DEFAULT_RETENTION = Duration.ofDays(30);
    private static final Duration MAX_RETENTION = Duration.ofDays(3650);

    private ContractParser() {}

    /**
     * Parses a document.
     *
     * @param customer the customer's name, which is the document's name
     * @param json the document
     * @param unknownFields how unknown fields are handled
     * @throws org.fuchsiaspindle.core.document.InvalidDocumentException with all errors
     */
    public static Contract parse(String customer, String json, UnknownFields unknownFields) {
        DocumentReader reader = DocumentReader.of(json, unknownFields);
        if (!Ids.isName(customer)) {
            reader.error("", "invalid customer name: " + customer);
        }
        ImmutableList<KeyDigest> keys = reader.strings("keys_sha256", KeyDigest::new);
        int weight = reader.integer("weight", 1, 1, Contract.MAX_WEIGHT);
        int urgency = reader.integer("urgency", DEFAULT_URGENCY, 0, Contract.MAX_URGENCY);
        Duration deadline =
                reader.milliseconds("request_deadline_ms", DEFAULT_DEADLINE, MAX_DEADLINE);
        Contract.OnlineLimits online = online(reader.object("online", true), reader.has("online"));
        Contract.BatchTerms batch = batch(reader.object("batch", false));
        ImmutableList<String> models = reader.names("models");
        ImmutableList<String> services = reader.names("services");
        reader.finish();
        return new Contract(
                customer,
                ImmutableSet.copyOf(keys),
                weight,
                urgency,
                deadline,
                online,
                batch,
                ImmutableSet.copyOf(models),
                ImmutableSet.copyOf(services));
    }

    private static Contract.OnlineLimits online(DocumentReader reader, boolean present) {
        if (!present) {
            return new Contract.OnlineLimits(1, 1, 1);
        }
        double rate = reader.requiredPositiveNumber("requests_per_second", MAX_RATE);
        int burst = reader.requiredInteger("burst", 1, MAX_COUNT);
        int concurrency = reader.requiredInteger("concurrency", 1, MAX_COUNT);
        reader.checkUnknown();
        return new Contract.OnlineLimits(rate, burst, concurrency);
    }

    private static Contract.BatchTerms batch(DocumentReader reader) {
        Duration window = reader.seconds("completion_window_s", DEFAULT_WINDOW, MAX_WINDOW);
        int jobs = reader.integer("max_open_jobs", 0, 0, MAX_COUNT);
        int items = reader.integer("max_items_per_job", 0, 0, MAX_ITEMS);
        Duration retention = reader.seconds("result_retention_s", DEFAULT_RETENTION, MAX_RETENTION);
        reader.checkUnknown();
        return new Contract.BatchTerms(window, jobs, items, retention);
    }
}
