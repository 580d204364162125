package org.fuchsiaspindle.daemon.agent.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against events that are lost or corrupted if they arrive in several parts. */
final class EventStreamParserTest {

    private final List<String> events = new ArrayList<>();
    private final EventStreamParser parser = new EventStreamParser(events::add);

    @Test
    void feed_splitAtAnyByteEvenWithinACharacter_yieldsTheSameEvents() throws IOException {
        byte[] stream =
                ": comment\r\ndata: gr\u00fc\u00df \u4e16\r\n\r\nid: 7\ndata: a\ndata: b\n\n"
                        .getBytes(StandardCharsets.UTF_8);
        for (byte next : stream) {
            parser.feed(ByteBuffer.wrap(new byte[] {next}));
        }
        assertThat(events).containsExactly("gr\u00fc\u00df \u4e16", "a\nb");
    }

    @Test
    void feed_aLineLongerThanTheLimit_isRefused() {
        byte[] part = new byte[64 * 1024];
        assertThatThrownBy(
                        () -> {
                            for (int i = 0; i < 17; i++) {
                                parser.feed(ByteBuffer.wrap(part));
                            }
                        })
                .isInstanceOf(IOException.class);
    }
}
