package org.fuchsiaspindle.gateway.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.platform.ingress.ClientRequest;
import org.junit.jupiter.api.Test;

/** Tests what another gateway receives of a call on a job. */
final class JobRelayTest {

    private static final KeyDigest KEY = KeyDigest.ofKey("secret");

    private static FullHttpRequest relayed(HttpHeaders headers, Optional<KeyDigest> key) {
        return JobRelay.request(
                new ClientRequest(
                        "id",
                        HttpMethod.GET,
                        "/x",
                        "h.example",
                        Optional.empty(),
                        Optional.empty(),
                        key,
                        false,
                        headers,
                        new byte[0],
                        0));
    }

    /** Guards against keys that reach other gateways. */
    @Test
    void relayedRequest_namesTheKeyByItsDigest() {
        HttpHeaders headers = new DefaultHttpHeaders().add("Authorization", "Bearer secret");
        HttpHeaders sent = relayed(headers, Optional.of(KEY)).headers();
        assertThat(sent.toString()).doesNotContain("secret");
        assertThat(sent.getAll(ClientRequest.KEY_DIGEST)).containsExactly(KEY.hex());
    }

    /** Guards against a client whose claimed digest another gateway takes for that of a peer. */
    @Test
    void digestSentByAClient_isNotRelayed() {
        HttpHeaders headers = new DefaultHttpHeaders().add(ClientRequest.KEY_DIGEST, KEY.hex());
        assertThat(relayed(headers, Optional.empty()).headers().contains(ClientRequest.KEY_DIGEST))
                .isFalse();
    }
}
