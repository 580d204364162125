package org.fuchsiaspindle.daemon.entry.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import org.fuchsiaspindle.core.routing.PromptPrefixes;
import org.fuchsiaspindle.wire.proto.Header;
import org.fuchsiaspindle.wire.proto.RequestKind;

/**
 * One online request of a caller, independent of the attempts made for it.
 *
 * @param requestId unique identifier, the same for all attempts
 * @param customer the customer
 * @param kind chat, text or service
 * @param target model or service name
 * @param body the request body as received
 * @param urgency urgency from the contract, 0 to 9
 * @param weight the customer's weight in fair sharing
 * @param timeLimit time until the first output of a model or until the response of a service
 * @param repeatable true if the call may be sent again after an unknown outcome
 * @param method HTTP method of a service call, else empty
 * @param path path and query of a service call inside the service, else empty
 * @param headers headers of a service call
 * @param prompt prefixes of the prompt, which determine the cache affinity
 * @param promptTokens estimated size of the prompt
 * @param maxTokens expected output size, 0 if unknown
 */
public record OnlineCall(
        String requestId,
        String customer,
        RequestKind kind,
        String target,
        ByteString body,
        int urgency,
        int weight,
        Duration timeLimit,
        boolean repeatable,
        String method,
        String path,
        ImmutableList<Header> headers,
        PromptPrefixes prompt,
        int promptTokens,
        int maxTokens) {

    /** Validates the components. */
    public OnlineCall {
        checkArgument(!requestId.isEmpty(), "empty request id");
        checkNotNull(customer, "customer");
        checkNotNull(kind, "kind");
        checkNotNull(target, "target");
        checkNotNull(body, "body");
        checkArgument(timeLimit.isPositive(), "time limit not positive: %s", timeLimit);
        checkNotNull(method, "method");
        checkNotNull(path, "path");
        checkNotNull(headers, "headers");
        checkNotNull(prompt, "prompt");
        checkArgument(promptTokens >= 0, "negative prompt size: %s", promptTokens);
        checkArgument(maxTokens >= 0, "negative output size: %s", maxTokens);
    }

    /** Returns true for a call to a plain service. */
    public boolean isService() {
        return kind == RequestKind.REQUEST_KIND_SERVICE;
    }
}
