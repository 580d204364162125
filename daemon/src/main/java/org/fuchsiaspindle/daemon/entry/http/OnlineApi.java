package org.fuchsiaspindle.daemon.entry.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.security.SecureRandom;
import java.util.List;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.entry.auth.CallerAuthentication;
import org.fuchsiaspindle.daemon.entry.dispatch.Dispatcher;
import org.fuchsiaspindle.daemon.entry.idempotency.IdempotentCalls;
import org.fuchsiaspindle.daemon.entry.limit.CustomerLimits;
import org.fuchsiaspindle.daemon.entry.metrics.EntryMetrics;

/** The services that the endpoints for online requests share. Thread-safe. */
public final class OnlineApi {

    private static final SecureRandom RANDOM = new SecureRandom();

    private final CallerAuthentication authentication;
    private final ConfigSource config;
    private final CustomerLimits limits;
    private final Dispatcher dispatcher;
    private final IdempotentCalls idempotentCalls;
    private final SlowCallers slowCallers;
    private final EntryMetrics metrics;
    private final Clock clock;
    private final long maxBodyBytes;
    private final BodyBudget bodyBudget = BodyBudget.ofHeap();

    private OnlineApi(
            CallerAuthentication authentication,
            ConfigSource config,
            CustomerLimits limits,
            Dispatcher dispatcher,
            IdempotentCalls idempotentCalls,
            SlowCallers slowCallers,
            EntryMetrics metrics,
            Clock clock,
            long maxBodyBytes) {
        this.authentication = checkNotNull(authentication, "authentication");
        this.config = checkNotNull(config, "config");
        this.limits = checkNotNull(limits, "limits");
        this.dispatcher = checkNotNull(dispatcher, "dispatcher");
        this.idempotentCalls = checkNotNull(idempotentCalls, "idempotentCalls");
        this.slowCallers = checkNotNull(slowCallers, "slowCallers");
        this.metrics = checkNotNull(metrics, "metrics");
        this.clock = checkNotNull(clock, "clock");
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Creates the shared services.
     *
     * @param authentication finds the caller's contract
     * @param config the configuration in force
     * @param limits the customers' limits
     * @param dispatcher runs the requests
     * @param idempotentCalls runs keyed calls at most once
     * @param slowCallers closes the connections of callers that do not read their responses
     * @param metrics counts streams that end with an error
     * @param clock source of time
     * @param maxBodyBytes largest request body
     */
    public static OnlineApi create(
            CallerAuthentication authentication,
            ConfigSource config,
            CustomerLimits limits,
            Dispatcher dispatcher,
            IdempotentCalls idempotentCalls,
            SlowCallers slowCallers,
            EntryMetrics metrics,
            Clock clock,
            long maxBodyBytes) {
        return new OnlineApi(
                authentication,
                config,
                limits,
                dispatcher,
                idempotentCalls,
                slowCallers,
                metrics,
                clock,
                maxBodyBytes);
    }

    CallerAuthentication authentication() {
        return authentication;
    }

    ConfigSource config() {
        return config;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    IdempotentCalls idempotentCalls() {
        return idempotentCalls;
    }

    SlowCallers slowCallers() {
        return slowCallers;
    }

    EntryMetrics metrics() {
        return metrics;
    }

    Clock clock() {
        return clock;
    }

    BodyBudget bodyBudget() {
        return bodyBudget;
    }

    long maxBodyBytes() {
        return maxBodyBytes;
    }

    String newId(String prefix) {
        return Ids.create(prefix, RANDOM);
    }

    CustomerLimits limits() {
        return limits;
    }

    void checkModel(Contract contract, String model) {
        if (!config.current().models().containsKey(model)) {
            throw new FuchsiaspindleException(
                    ResultCode.UNKNOWN_MODEL, "no such model: " + printable(model));
        }
        if (!contract.models().contains(model)) {
            throw new FuchsiaspindleException(
                    ResultCode.NOT_ALLOWED, "the contract does not allow model " + model);
        }
    }

    void requireMethod(HttpServerExchange exchange, String... methods) {
        if (!List.of(methods).contains(exchange.getRequestMethod().toString())) {
            exchange.getResponseHeaders().put(Headers.ALLOW, String.join(", ", methods));
            throw new FuchsiaspindleException(
                    ResultCode.METHOD_NOT_ALLOWED,
                    "method " + exchange.getRequestMethod() + " is not supported here");
        }
    }

    void requireExactPath(HttpServerExchange exchange) {
        String rest = exchange.getRelativePath();
        if (!rest.isEmpty() && !rest.equals("/")) {
            throw new FuchsiaspindleException(
                    ResultCode.NOT_FOUND, "no such path: " + exchange.getRequestPath());
        }
    }

    /** Returns a name from a request for use in a message, or a placeholder if it is not valid. */
    static String printable(String name) {
        return Ids.isName(name) ? name : "(not a valid name)";
    }
}
