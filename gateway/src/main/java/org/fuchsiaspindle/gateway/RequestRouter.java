package org.fuchsiaspindle.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.RouteKind;
import org.fuchsiaspindle.core.serving.ServingConfig;
import org.fuchsiaspindle.core.serving.StopWindow;
import org.fuchsiaspindle.core.workspace.CallerAccess;
import org.fuchsiaspindle.gateway.batch.JobCallHandler;
import org.fuchsiaspindle.gateway.batch.JobSubmissionHandler;
import org.fuchsiaspindle.gateway.online.OnlineDispatcher;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.ingress.ClientRequest;
import org.fuchsiaspindle.platform.ingress.ClientRequestHandler;
import org.fuchsiaspindle.platform.ingress.Refusal;
import org.fuchsiaspindle.platform.job.JobApiCodec;
import org.fuchsiaspindle.platform.job.JobApiCodec.JobCall;

/** Routes requests to the handlers of online requests, job submissions, and existing jobs. */
final class RequestRouter implements ClientRequestHandler {

    private static final int STATUS_UNAUTHORIZED = 401;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final Duration CONFIG_RETRY_AFTER = Duration.ofMillis(300);

    /** Other gateways can execute the request at once. */
    private static final Duration DRAINING_RETRY_AFTER = Duration.ofMillis(10);

    /** Time that is assumed for a request without a deadline. */
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(4);

    private final FleetViewHolder viewHolder;
    private final OnlineDispatcher onlineDispatcher;
    private final JobSubmissionHandler submissionHandler;
    private final JobCallHandler jobCallHandler;
    private final GatewayMetrics metrics;
    private final Supplier<Optional<StopWindow>> stopWindow;

    /**
     * Creates a router.
     *
     * @param viewHolder the configuration in force
     * @param onlineDispatcher handles online requests
     * @param submissionHandler handles submissions of jobs
     * @param jobCallHandler handles calls on existing jobs
     * @param metrics counts refused requests
     * @param stopWindow the graceful stop in progress, if there is one
     */
    RequestRouter(
            FleetViewHolder viewHolder,
            OnlineDispatcher onlineDispatcher,
            JobSubmissionHandler submissionHandler,
            JobCallHandler jobCallHandler,
            GatewayMetrics metrics,
            Supplier<Optional<StopWindow>> stopWindow) {
        this.viewHolder = checkNotNull(viewHolder, "viewHolder");
        this.onlineDispatcher = checkNotNull(onlineDispatcher, "onlineDispatcher");
        this.submissionHandler = checkNotNull(submissionHandler, "submissionHandler");
        this.jobCallHandler = checkNotNull(jobCallHandler, "jobCallHandler");
        this.metrics = checkNotNull(metrics, "metrics");
        this.stopWindow = checkNotNull(stopWindow, "stopWindow");
    }

    @Override
    public void handle(ClientExchange exchange) {
        ClientRequest request = exchange.request();
        Optional<ServingConfig> config = viewHolder.view().config();
        if (config.isEmpty()) {
            exchange.refuse(Refusal.notRun(ResultCode.NO_TARGET, CONFIG_RETRY_AFTER));
            return;
        }
        Optional<JobCall> jobCall = JobApiCodec.decode(request);
        Optional<Route> route = route(request, jobCall, config.get());
        CallerAccess access = access(request, route, config.get());
        boolean exists = route.isPresent() || jobCall.isPresent();
        if (exists && access instanceof CallerAccess.Denied) {
            refuseKey(exchange, route);
        } else if (!isAdmitted(request, route)) {
            refuse(exchange, route, ResultCode.DRAINING);
        } else if (submissionHandler.acknowledgeRepeat(exchange, access)) {
            return;
        } else if (route.isPresent()) {
            dispatch(exchange, route.get(), access);
        } else {
            jobCall.ifPresentOrElse(
                    call -> jobCallHandler.handle(exchange, call, access),
                    () -> refuseNotFound(exchange, config.get()));
        }
    }

    private Optional<Route> route(
            ClientRequest request, Optional<JobCall> jobCall, ServingConfig config) {
        Optional<Route> match = config.match(request.host(), request.path());
        if (match.isEmpty() || jobCall.isEmpty()) {
            return match;
        }
        return match.filter(route -> !hasPrecedence(jobCall.get(), route, request, config));
    }

    /**
     * Returns whether a request on a job is handled as such although a route matches its path.
     *
     * <p>The paths of such requests count as routes of the hosts that have batch routes, so a route
     * with a longer prefix takes them. It does not take those on jobs that were accepted before.
     */
    private boolean hasPrecedence(
            JobCall call, Route match, ClientRequest request, ServingConfig config) {
        if (jobCallHandler.isKnownJob(call.jobId(), request.host())) {
            return true;
        }
        boolean isMoreSpecific = call.pathPrefix().length() > match.pathPrefix().length();
        return isMoreSpecific && config.hasBatchRoute(request.host());
    }

    /** Returns the access of a caller; requests without a route, such as on jobs, need a key. */
    private static CallerAccess access(
            ClientRequest request, Optional<Route> route, ServingConfig config) {
        boolean isPublic = route.map(Route::isPublic).orElse(false);
        return CallerAccess.of(config.workspaces(), !isPublic, request.key());
    }

    private void refuseKey(ClientExchange exchange, Optional<Route> route) {
        logRefusal(exchange, route, ResultCode.INVALID_KEY);
        metrics.countRefusal(ResultCode.INVALID_KEY);
        exchange.refuse(Refusal.of(STATUS_UNAUTHORIZED, ResultCode.INVALID_KEY));
    }

    private static void refuse(ClientExchange exchange, Optional<Route> route, ResultCode code) {
        logRefusal(exchange, route, code);
        exchange.refuse(Refusal.notRun(code, DRAINING_RETRY_AFTER));
    }

    private static void logRefusal(
            ClientExchange exchange, Optional<Route> route, ResultCode code) {
        DecisionLog.online(
                exchange.request().id(),
                route.map(Route::name).orElse("-"),
                "-",
                "-",
                "refused",
                code.name(),
                0,
                0);
    }

    /** Returns whether the process does not end before a request must be answered. */
    private boolean isAdmitted(ClientRequest request, Optional<Route> route) {
        Duration deadline = request.deadline().orElse(DEFAULT_DEADLINE);
        Duration longestTime =
                route.filter(candidate -> candidate.kind() != RouteKind.BATCH)
                        .map(Route::timeout)
                        .filter(timeout -> timeout.compareTo(deadline) < 0)
                        .orElse(deadline);
        return stopWindow
                .get()
                .map(window -> window.admits(System.nanoTime(), longestTime))
                .orElse(true);
    }

    private void dispatch(ClientExchange exchange, Route route, CallerAccess access) {
        if (route.kind() == RouteKind.BATCH) {
            submissionHandler.handle(exchange, route, access);
        } else if (exchange.request().id().isEmpty()) {
            exchange.refuse(Refusal.of(STATUS_BAD_REQUEST, ResultCode.MALFORMED_REQUEST));
        } else {
            double randomValue = ThreadLocalRandom.current().nextDouble();
            onlineDispatcher.handle(exchange, route, route.chooseService(randomValue), access);
        }
    }

    private static void refuseNotFound(ClientExchange exchange, ServingConfig config) {
        DecisionLog.online(
                exchange.request().id(),
                "-",
                "-",
                "-",
                "not_found",
                "config version " + config.version(),
                0,
                0);
        exchange.refuse(Refusal.of(STATUS_NOT_FOUND, ResultCode.NOT_FOUND));
    }
}
