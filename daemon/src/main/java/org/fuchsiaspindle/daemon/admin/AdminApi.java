package org.fuchsiaspindle.daemon.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.config.ChangeRequest;
import org.fuchsiaspindle.core.config.ConfigChange;
import org.fuchsiaspindle.core.config.ConfigConflictException;
import org.fuchsiaspindle.core.config.ConfigState;
import org.fuchsiaspindle.core.config.DocumentKey;
import org.fuchsiaspindle.core.config.DocumentKind;
import org.fuchsiaspindle.core.document.InvalidDocumentException;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.entry.auth.CallerAuthentication;
import org.fuchsiaspindle.daemon.fleet.ConfigStore;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.FleetVersions;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.daemon.http.HttpEndpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The administration API below {@code /admin/v1}: changes, documents, history, differences, status,
 * targets, jobs and explanations of requests.
 *
 * <p>Thread-safe. Every request requires an operator key. Documents are read from this entry's
 * replica, the history and differences from the table.
 */
public final class AdminApi implements HttpEndpoint {

    private static final Logger LOG = LoggerFactory.getLogger(AdminApi.class);
    private static final Duration MAX_WAIT = Duration.ofSeconds(60);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int MAX_DOCUMENT_CHARS = 256 * 1024;
    private static final int DEFAULT_HISTORY_LIMIT = 100;
    private static final int MAX_HISTORY_LIMIT = 1000;
    private static final Splitter PATH = Splitter.on('/').omitEmptyStrings();

    private final CallerAuthentication authentication;
    private final ConfigStore config;
    private final FleetVersions versions;
    private final FleetStatus status;
    private final Clock clock;
    private final RandomGenerator random;

    private volatile Function<String, Optional<JsonNode>> explain = id -> Optional.empty();
    private volatile Optional<JobOperations> jobs = Optional.empty();

    private AdminApi(
            CallerAuthentication authentication,
            ConfigStore config,
            FleetVersions versions,
            FleetStatus status,
            Clock clock,
            RandomGenerator random) {
        this.authentication = checkNotNull(authentication, "authentication");
        this.config = checkNotNull(config, "config");
        this.versions = checkNotNull(versions, "versions");
        this.status = status;
        this.clock = checkNotNull(clock, "clock");
        this.random = checkNotNull(random, "random");
    }

    /**
     * Creates the API.
     *
     * @param authentication authenticates operators
     * @param config accepts changes
     * @param directory the other processes
     * @param versions configuration versions in force
     * @param reports load reports of the targets
     * @param clock the clock
     * @param random random source of change identifiers, thread-safe
     */
    public static AdminApi create(
            CallerAuthentication authentication,
            ConfigStore config,
            FleetDirectory directory,
            FleetVersions versions,
            LoadReports reports,
            Clock clock,
            RandomGenerator random) {
        FleetStatus status = new FleetStatus(config, directory, versions, reports, clock);
        return new AdminApi(authentication, config, versions, status, clock, random);
    }

    /** Sets the lookup of the routing decisions of a request by its identifier. */
    public void setExplanationLookup(Function<String, Optional<JsonNode>> lookup) {
        explain = checkNotNull(lookup, "lookup");
    }

    /**
     * Sets the operations on batch jobs; without them, requests for jobs fail with {@code
     * NOT_FOUND}.
     */
    public void setJobOperations(JobOperations operations) {
        jobs = Optional.of(operations);
    }

    @Override
    public void handle(HttpServerExchange exchange) throws IOException {
        if (!config.isReady()) {
            // The operator keys are not known yet, and the bootstrap key may be outdated.
            throw new FuchsiaspindleException(
                    ResultCode.TABLE_UNAVAILABLE,
                    "this entry has not loaded the configuration yet");
        }
        String operator = authentication.operator(exchange);
        List<String> path = PATH.splitToList(exchange.getRelativePath());
        String method = exchange.getRequestMethod().toString();
        LOG.info(
                "http: admin method={} path={} operator={}",
                method,
                exchange.getRequestPath(),
                operator);
        try {
            route(exchange, method, path, operator);
        } catch (ConfigConflictException e) {
            AdminJson.sendFailure(exchange, e, AdminJson.details(e));
        } catch (InvalidDocumentException e) {
            AdminJson.sendFailure(exchange, e, AdminJson.details(e));
        }
    }

    private void route(
            HttpServerExchange exchange, String method, List<String> path, String operator)
            throws IOException {
        switch (pattern(path)) {
            case "changes/1" -> {
                requireMethod("POST", method);
                change(exchange, operator);
            }
            case "targets/3" -> {
                requireMethod("POST", method);
                drain(exchange, path.get(1), path.get(2), operator);
            }
            case "jobs/3" -> {
                requireMethod("POST", method);
                if (!path.get(2).equals("cancel")) {
                    throw notFound("action " + path.get(2));
                }
                AdminJson.send(exchange, jobs().cancel(path.get(1)));
            }
            default -> {
                requireMethod("GET", method);
                AdminJson.send(exchange, read(exchange, path));
            }
        }
    }

    private JsonNode read(HttpServerExchange exchange, List<String> path) {
        return switch (pattern(path)) {
            case "documents/2" -> documents(kind(path.get(1)));
            case "documents/3" -> document(new DocumentKey(kind(path.get(1)), path.get(2)));
            case "history/1" -> history(exchange);
            case "diff/1" -> diff(exchange);
            case "status/1" -> status();
            case "targets/1" -> AdminJson.JSON.createObjectNode().set("targets", status.targets());
            case "jobs/1" -> {
                ObjectNode body = AdminJson.JSON.createObjectNode();
                body.set("jobs", jobs().list(parameter(exchange, "customer")));
                yield body;
            }
            case "jobs/2" ->
                    jobs().show(path.get(1)).orElseThrow(() -> notFound("job " + path.get(1)));
            case "explain/2" ->
                    explain.apply(path.get(1))
                            .orElseThrow(() -> notFound("request " + path.get(1)));
            default -> throw notFound("path " + exchange.getRequestPath());
        };
    }

    private JobOperations jobs() {
        return jobs.orElseThrow(() -> notFound("batch jobs"));
    }

    /** Returns the first segment of a path and the number of segments. */
    private static String pattern(List<String> path) {
        return path.isEmpty() ? "" : path.getFirst() + "/" + path.size();
    }

    private void change(HttpServerExchange exchange, String operator) throws IOException {
        ObjectNode body = AdminJson.readObject(exchange);
        if (!body.has("document")) {
            throw AdminJson.malformed("document: missing; use null to delete the document");
        }
        JsonNode document = body.get("document");
        if (document.toString().length() > MAX_DOCUMENT_CHARS) {
            throw new FuchsiaspindleException(
                    ResultCode.BODY_TOO_LARGE,
                    "document: longer than " + MAX_DOCUMENT_CHARS + " characters");
        }
        DocumentKey key =
                new DocumentKey(kind(stringField(body, "kind")), stringField(body, "name"));
        submit(
                exchange,
                request(
                        stringField(body, "change_id"),
                        baseVersion(body),
                        key,
                        document.isNull() ? Optional.empty() : Optional.of(document.toString()),
                        operator));
    }

    private void drain(HttpServerExchange exchange, String id, String action, String operator)
            throws IOException {
        boolean drain = action.equals("drain");
        if (!drain && !action.equals("undrain")) {
            throw notFound("action " + action);
        }
        ObjectNode body = AdminJson.readObject(exchange);
        DocumentKey key = new DocumentKey(DocumentKind.DRAIN, id);
        ConfigState state = config.state();
        boolean drained = state.documents().containsKey(key);
        if (drain && !drained && status.target(id).isEmpty()) {
            throw notFound("target " + id);
        }
        if (drain == drained) {
            sendOutcome(exchange, state.version(), "");
            return;
        }
        String changeId =
                body.has("change_id")
                        ? stringField(body, "change_id")
                        : Ids.create("drain-", random);
        submit(
                exchange,
                request(
                        changeId,
                        OptionalLong.empty(),
                        key,
                        drain ? Optional.of("{}") : Optional.empty(),
                        operator));
    }

    private void submit(HttpServerExchange exchange, ChangeRequest request) throws IOException {
        sendOutcome(exchange, config.submit(request), request.changeId());
    }

    private void sendOutcome(HttpServerExchange exchange, long version, String changeId)
            throws IOException {
        ObjectNode body =
                AdminJson.JSON
                        .createObjectNode()
                        .put("version", version)
                        .put("change_id", changeId);
        long waitMs = number(exchange, "wait_ms", 0);
        if (waitMs > 0) {
            Duration maxWait = Duration.ofMillis(Math.min(waitMs, MAX_WAIT.toMillis()));
            ImmutableList<FleetVersions.InstanceVersion> lagging = awaitInForce(version, maxWait);
            if (!lagging.isEmpty()) {
                body.set("lagging", AdminJson.processes(lagging));
                AdminJson.sendFailure(exchange, notInForce(version, lagging), body);
                return;
            }
            body.put("in_force", true);
        }
        AdminJson.send(exchange, body);
    }

    private static FuchsiaspindleException notInForce(
            long version, ImmutableList<FleetVersions.InstanceVersion> lagging) {
        return new FuchsiaspindleException(
                ResultCode.CONFIG_NOT_IN_FORCE,
                "version "
                        + version
                        + " is accepted but not yet in force in "
                        + Lists.transform(lagging, process -> process.instance().id()));
    }

    /**
     * Waits until every live process reports the version; returns those that lag behind at the end.
     */
    private ImmutableList<FleetVersions.InstanceVersion> awaitInForce(
            long version, Duration maxWait) {
        long start = clock.nanoTime();
        while (true) {
            ImmutableList<FleetVersions.InstanceVersion> lagging = versions.laggingBehind(version);
            if (lagging.isEmpty() || clock.nanoTime() - start >= maxWait.toNanos()) {
                return lagging;
            }
            try {
                Thread.sleep(POLL_INTERVAL);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return lagging;
            }
        }
    }

    private ObjectNode documents(DocumentKind kind) {
        ConfigState state = config.state();
        ObjectNode body = AdminJson.JSON.createObjectNode().put("version", state.version());
        ArrayNode list = body.putArray("documents");
        state.documents().values().stream()
                .filter(change -> change.key().kind() == kind)
                .forEach(change -> list.add(AdminJson.change(change)));
        return body;
    }

    private ObjectNode document(DocumentKey key) {
        ConfigChange change = config.state().documents().get(key);
        if (change == null) {
            throw notFound("document " + key);
        }
        return AdminJson.change(change);
    }

    private ObjectNode history(HttpServerExchange exchange) {
        Optional<DocumentKind> kind = parameter(exchange, "kind").map(AdminApi::kind);
        Optional<String> name = parameter(exchange, "name");
        int limit =
                Math.clamp(number(exchange, "limit", DEFAULT_HISTORY_LIMIT), 1, MAX_HISTORY_LIMIT);
        List<ConfigChange> matching =
                config.log(0, Long.MAX_VALUE).stream()
                        .filter(change -> kind.isEmpty() || change.key().kind() == kind.get())
                        .filter(change -> name.isEmpty() || change.key().name().equals(name.get()))
                        .toList();
        List<ConfigChange> newest =
                matching.subList(Math.max(0, matching.size() - limit), matching.size());
        ObjectNode body = AdminJson.JSON.createObjectNode();
        body.set("changes", AdminJson.changes(newest.reversed()));
        return body;
    }

    private ObjectNode diff(HttpServerExchange exchange) {
        long head = config.state().version();
        long from = number(exchange, "from", 0);
        long to = number(exchange, "to", head);
        if (from < 0 || from > to || to > head) {
            throw AdminJson.malformed("from, to: expected 0 <= from <= to <= " + head);
        }
        ObjectNode body = AdminJson.JSON.createObjectNode().put("from", from).put("to", to);
        body.set("differences", ConfigDiff.compute(config.log(0, to), from));
        return body;
    }

    private ObjectNode status() {
        ObjectNode body =
                AdminJson.JSON
                        .createObjectNode()
                        .put("config_version", config.current().version())
                        .put("ready", config.isReady())
                        .put("table_reachable", config.isTableReachable());
        body.set("processes", status.processes());
        body.set("targets", status.targets());
        body.set(
                "jobs_at_risk",
                jobs.map(JobOperations::atRisk).orElseGet(AdminJson.JSON::createArrayNode));
        return body;
    }

    private static ChangeRequest request(
            String changeId,
            OptionalLong baseVersion,
            DocumentKey key,
            Optional<String> document,
            String operator) {
        try {
            return new ChangeRequest(changeId, baseVersion, key, document, operator);
        } catch (IllegalArgumentException e) {
            throw AdminJson.malformed(e.getMessage());
        }
    }

    private static OptionalLong baseVersion(ObjectNode body) {
        JsonNode node = body.get("base_version");
        if (node == null || node.isNull()) {
            return OptionalLong.empty();
        }
        if (!node.isIntegralNumber() || !node.canConvertToLong() || node.longValue() < 0) {
            throw AdminJson.malformed("base_version: not a version: " + node);
        }
        return OptionalLong.of(node.longValue());
    }

    private static DocumentKind kind(String name) {
        return DocumentKind.ofWireName(name)
                .orElseThrow(() -> AdminJson.malformed("kind: unknown: " + name));
    }

    private static String stringField(ObjectNode body, String field) {
        JsonNode node = body.get(field);
        if (node == null || !node.isTextual()) {
            throw AdminJson.malformed(field + ": missing or not a string");
        }
        return node.textValue();
    }

    private static Optional<String> parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.getFirst());
    }

    private static long number(HttpServerExchange exchange, String name, long defaultValue) {
        try {
            return parameter(exchange, name).map(Long::parseLong).orElse(defaultValue);
        } catch (NumberFormatException e) {
            throw AdminJson.malformed(name + ": not an integer");
        }
    }

    private static void requireMethod(String allowed, String method) {
        if (!method.equals(allowed)) {
            throw new FuchsiaspindleException(
                    ResultCode.METHOD_NOT_ALLOWED, "the path supports only " + allowed);
        }
    }

    private static FuchsiaspindleException notFound(String resource) {
        return new FuchsiaspindleException(ResultCode.NOT_FOUND, "no such " + resource);
    }
}
