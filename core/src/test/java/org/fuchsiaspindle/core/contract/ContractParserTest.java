package org.fuchsiaspindle.core.contract;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.fuchsiaspindle.core.document.DocumentReader.UnknownFields;
import org.fuchsiaspindle.core.document.FieldError;
import org.fuchsiaspindle.core.document.InvalidDocumentException;
import org.junit.jupiter.api.Test;

/** Guards against documents that are accepted although a field is misread, invalid or unknown. */
final class ContractParserTest {

    private static final String KEY = "ab".repeat(32);

    @Test
    void parse_withAllFields_readsEachOfThem() {
        String json =
                """
                {"keys_sha256":["%s"],"weight":7,"urgency":2,"request_deadline_ms":1500,
                 "online":{"requests_per_second":2.5,"burst":4,"concurrency":3},
                 "batch":{"completion_window_s":3600,"max_open_jobs":5,"max_items_per_job":100,
                          "result_retention_s":7200},
                 "models":["m-1"],"services":["s-1"]}\
                """
                        .formatted(KEY);
        Contract contract = ContractParser.parse("acme", json, UnknownFields.REFUSE);
        assertThat(contract.keys()).containsExactly(new KeyDigest(KEY));
        assertThat(contract.weight()).isEqualTo(7);
        assertThat(contract.urgency()).isEqualTo(2);
        assertThat(contract.requestDeadline()).isEqualTo(Duration.ofMillis(1500));
        assertThat(contract.online()).isEqualTo(new Contract.OnlineLimits(2.5, 4, 3));
        assertThat(contract.batch())
                .isEqualTo(
                        new Contract.BatchTerms(Duration.ofHours(1), 5, 100, Duration.ofHours(2)));
        assertThat(contract.models()).containsExactly("m-1");
        assertThat(contract.services()).containsExactly("s-1");
    }

    @Test
    void parse_withManyErrors_listsAllOfThemByField() {
        String json =
                """
                {"keys_sha256":["secret-in-clear", 5],"weight":0,"urgency":"high","wieght":1,
                 "request_deadline_ms":0.5,
                 "online":{"requests_per_second":0,"concurrency":3,"brust":1},
                 "batch":[],"models":["m-1","m-1","Bad Name"]}\
                """;
        assertThatThrownBy(() -> ContractParser.parse("acme", json, UnknownFields.REFUSE))
                .hasMessageNotContaining("secret-in-clear")
                .isInstanceOfSatisfying(
                        InvalidDocumentException.class,
                        e ->
                                assertThat(e.errors())
                                        .extracting(FieldError::field)
                                        .containsExactlyInAnyOrder(
                                                "keys_sha256[0]",
                                                "keys_sha256[1]",
                                                "weight",
                                                "urgency",
                                                "wieght",
                                                "request_deadline_ms",
                                                "online.requests_per_second",
                                                "online.burst",
                                                "online.brust",
                                                "batch",
                                                "models[1]",
                                                "models[2]"));
    }

    @Test
    void parse_ofADocumentOfANewerProcess_ignoresUnknownFieldsInReplicas() {
        String json =
                """
                {"online":{"requests_per_second":1,"burst":1,"concurrency":1,"new":1},"newer":{}}\
                """;
        assertThat(ContractParser.parse("acme", json, UnknownFields.IGNORE).weight()).isEqualTo(1);
    }

    @Test
    void parse_ofBrokenJsonOrDuplicateFields_isRefused() {
        for (String json : new String[] {"", "[]", "{", "{\"weight\":1,\"weight\":2}", "{} {}"}) {
            assertThatThrownBy(() -> ContractParser.parse("acme", json, UnknownFields.REFUSE))
                    .as(json)
                    .isInstanceOf(InvalidDocumentException.class);
        }
    }
}
