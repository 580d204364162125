package org.fuchsiaspindle.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.RouteKind;
import org.fuchsiaspindle.core.serving.ServingConfig;
import org.fuchsiaspindle.gateway.batch.JobCallHandler;
import org.fuchsiaspindle.gateway.batch.JobSubmissionHandler;
import org.fuchsiaspindle.gateway.online.OnlineDispatcher;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.ingress.ClientRequest;
import org.fuchsiaspindle.platform.ingress.ClientRequestHandler;
import org.fuchsiaspindle.platform.ingress.Refusal;
import org.fuchsiaspindle.platform.job.JobApiCodec;

/** Routes requests to the handlers of online requests, job submissions, and existing jobs. */
final class RequestRouter implements ClientRequestHandler {

    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final Duration CONFIG_RETRY_AFTER = Duration.ofMillis(300);

    private final FleetViewHolder viewHolder;
    private final OnlineDispatcher onlineDispatcher;
    private final JobSubmissionHandler submissionHandler;
    private final JobCallHandler jobCallHandler;

    RequestRouter(
            FleetViewHolder viewHolder,
            OnlineDispatcher onlineDispatcher,
            JobSubmissionHandler submissionHandler,
            JobCallHandler jobCallHandler) {
        this.viewHolder = checkNotNull(viewHolder, "viewHolder");
        this.onlineDispatcher = checkNotNull(onlineDispatcher, "onlineDispatcher");
        this.submissionHandler = checkNotNull(submissionHandler, "submissionHandler");
        this.jobCallHandler = checkNotNull(jobCallHandler, "jobCallHandler");
    }

    @Override
    public void handle(ClientExchange exchange) {
        ClientRequest request = exchange.request();
        Optional<ServingConfig> config = viewHolder.view().config();
        if (config.isEmpty()) {
            exchange.refuse(Refusal.notRun(ResultCode.NO_TARGET, CONFIG_RETRY_AFTER));
            return;
        }
        Optional<Route> route = config.get().match(request.host(), request.path());
        if (route.isPresent()) {
            dispatch(exchange, route.get());
            return;
        }
        JobApiCodec.decode(request)
                .ifPresentOrElse(
                        call -> jobCallHandler.handle(exchange, call),
                        () -> refuseNotFound(exchange, config.get()));
    }

    private void dispatch(ClientExchange exchange, Route route) {
        if (route.kind() == RouteKind.BATCH) {
            submissionHandler.handle(exchange, route);
        } else if (exchange.request().id().isEmpty()) {
            exchange.refuse(Refusal.of(STATUS_BAD_REQUEST, ResultCode.MALFORMED_REQUEST));
        } else {
            double randomValue = ThreadLocalRandom.current().nextDouble();
            onlineDispatcher.handle(exchange, route, route.chooseService(randomValue));
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
