package org.fuchsiaspindle.gateway.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests what of a configuration other gateways may receive. */
final class FleetViewHolderTest {

    private static String shared(String document) {
        FleetViewHolder holder = new FleetViewHolder();
        holder.offerConfig(document.getBytes(StandardCharsets.UTF_8), "test");
        return new String(holder.view().configDocument(), StandardCharsets.UTF_8);
    }

    /** Guards against keys that leave the process in the document for other gateways. */
    @Test
    void documentForPeers_containsNoKey() {
        String document =
                "{\"version\": 2, \"tenants\": [{\"name\": \"a\", \"apiKeys\": [\"secret\"]}]}";
        assertThat(shared(document)).contains("\"a\"").doesNotContain("secret");
    }

    /** Guards against changing what gateways share where there are no workspaces. */
    @Test
    void documentWithoutWorkspaces_isSharedAsReceived() {
        String document = "{\"version\": 2, \"routes\": []}";
        assertThat(shared(document)).isEqualTo(document);
    }
}
