package org.fuchsiaspindle.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against sending invalid lines to a target and against unbounded error lists. */
final class InputFileValidatorTest {

    private final InputFileValidator validator =
            InputFileValidator.create("m"::equals, new Random(1));

    @Test
    void accept_ofManyInvalidLines_keepsTheFirstHundredErrors() {
        for (int line = 1; line <= 300; line++) {
            validator.accept(line, "{".getBytes(StandardCharsets.UTF_8));
        }
        assertThat(validator.errorCount()).isEqualTo(300);
        assertThat(validator.errors()).hasSize(100);
    }

    @Test
    void accept_ofALineWithAnotherPath_isAnError() {
        accept(1, "a", "/v1/chat/completions", "\"messages\":[]");
        accept(2, "b", "/v1/completions", "\"prompt\":\"x\"");
        accept(3, "c", "/v1/chat/completions", "\"prompt\":\"x\"");
        assertThat(validator.errors())
                .extracting(LineError::code)
                .containsExactly("mismatched_url", "missing_messages");
    }

    @Test
    void add_ofManyDigests_behavesLikeASet() {
        DigestSet digests = new DigestSet();
        Random random = new Random(2);
        Set<Long> expected = new HashSet<>();
        for (int i = 0; i < 50_000; i++) {
            long value = random.nextInt(40_000) * 0x9E3779B97F4A7C15L + 1;
            assertThat(digests.add(value)).isEqualTo(expected.add(value));
        }
    }

    private void accept(int line, String id, String url, String content) {
        String text =
                """
                {"custom_id":"%s","method":"POST","url":"%s","body":{"model":"m",%s}}\
                """
                        .formatted(id, url, content);
        validator.accept(line, text.getBytes(StandardCharsets.UTF_8));
    }
}
