package org.fuchsiaspindle.testbed.service;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.time.Duration;
import org.fuchsiaspindle.platform.http.HttpClient;
import org.fuchsiaspindle.platform.http.HttpExchangeException;
import org.fuchsiaspindle.platform.http.HttpRequest;
import org.fuchsiaspindle.testbed.ledger.ServiceLedger;
import org.junit.jupiter.api.Test;

class ServiceStandInTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Guards against a ledger that omits a call whose response was lost. */
    @Test
    void everyExecutedOrderIsInTheLedger() throws IOException {
        ServiceLedger ledger = ServiceLedger.create();
        try (ServiceStandIn service = ServiceStandIn.start(0, "orders", ledger);
                HttpClient client = HttpClient.create(service.url())) {
            HttpRequest order =
                    HttpRequest.of("POST", "/orders", "text/plain", "a pen".getBytes(UTF_8));
            assertThat(client.exchange(order, TIMEOUT).status()).isEqualTo(201);
            service.dropNextResponses(1);
            assertThatThrownBy(() -> client.exchange(order, TIMEOUT))
                    .isInstanceOf(HttpExchangeException.class);
            assertThat(ledger.callsWithBody("a pen")).hasSize(2);
            assertThat(client.exchange(HttpRequest.of("GET", "/status/7"), TIMEOUT).body())
                    .asString(UTF_8)
                    .isEqualTo("{\"id\":\"7\",\"status\":\"open\"}");
            assertThat(client.exchange(HttpRequest.of("GET", "/none"), TIMEOUT).status())
                    .isEqualTo(404);
            assertThat(ledger.calls()).hasSize(3);
        }
    }
}
