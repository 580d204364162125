package org.fuchsiaspindle.daemon.agent.target;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import org.fuchsiaspindle.wire.proto.Header;

/**
 * A request to the target. Immutable.
 *
 * @param method HTTP method
 * @param path path with query, starting with a slash
 * @param headers headers of the caller; those that concern one connection are dropped
 * @param body the body, empty if there is none
 */
public record TargetRequest(
        String method, String path, ImmutableList<Header> headers, ByteString body) {

    /** Validates the components. */
    public TargetRequest {
        checkArgument(!method.isEmpty(), "empty method");
        checkArgument(path.startsWith("/"), "path without leading slash: %s", path);
        checkNotNull(headers, "headers");
        checkNotNull(body, "body");
    }

    /** Returns a request without body. */
    public static TargetRequest withoutBody(String method, String path) {
        return new TargetRequest(method, path, ImmutableList.of(), ByteString.EMPTY);
    }

    /** Returns a request with a JSON body. */
    public static TargetRequest json(String method, String path, ByteString body) {
        Header type =
                Header.newBuilder().setName("Content-Type").setValue("application/json").build();
        return new TargetRequest(method, path, ImmutableList.of(type), body);
    }
}
