package org.fuchsiaspindle.core.error;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.fuchsiaspindle.core.testing.DocumentedPage;
import org.junit.jupiter.api.Test;

/** Guards against reused result codes and against codes that differ from the documented table. */
final class ResultCodeTest {

    @Test
    void numbers_areUnique() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number))
                .doesNotHaveDuplicates();
    }

    @Test
    void ofNumber_withAnUnknownNumber_returnsInternal() {
        assertThat(ResultCode.ofNumber(1999)).isEqualTo(ResultCode.INTERNAL);
    }

    @Test
    void table_matchesTheDocumentation() {
        StringBuilder table =
                new StringBuilder(
                        """
                        # Result codes

                        Generated from `ResultCode`; `ResultCodeTest` compares the two.
                        `executed` is the default; a refusal may state another value. Status 0 means
                        that the code never reaches a caller.

                        | number | code | status | executed | meaning |
                        |---|---|---|---|---|
                        """);
        for (ResultCode code : ResultCode.values()) {
            table.append(
                    "| %d | `%s` | %d | %s | %s |\n"
                            .formatted(
                                    code.number(),
                                    code.wireName(),
                                    code.httpStatus(),
                                    code.executed().wireName(),
                                    code.description()));
        }
        DocumentedPage.verify("result-codes", table.toString());
    }
}
