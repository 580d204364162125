package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.io.CountingOutputStream;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.function.Function;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.FileRecord;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.JobRequest;
import org.fuchsiaspindle.core.batch.JobStatus;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.entry.auth.CallerAuthentication;
import org.fuchsiaspindle.daemon.http.HttpEndpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves {@code /v1/files} and {@code /v1/batches} with the JSON formats of the batch API.
 * Thread-safe.
 */
final class BatchApi implements HttpEndpoint {

    private static final Logger LOG = LoggerFactory.getLogger(BatchApi.class);
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final int MAX_KEY_CHARS = 256;
    private static final int MAX_REQUEST_BYTES = 64 * 1024;
    private static final int DEFAULT_PAGE_SIZE = 20;
    private static final int MAX_PAGE_SIZE = 100;

    /**
     * Each upload buffers one part, one line and the identifiers of its lines, less than 20 MiB in
     * all.
     */
    private static final int MAX_UPLOADS = 4;

    /**
     * Clients poll jobs, and the progress of a job is summed over up to thousands of segment rows.
     */
    private static final Duration PROGRESS_CACHE_TTL = Duration.ofSeconds(2);

    private static final int MAX_CACHED_PROGRESS = 1000;
    private static final int PATH_COLLECTION = 2;
    private static final int PATH_MEMBER = 3;
    private static final int PATH_ACTION = 4;

    private final CallerAuthentication authentication;
    private final FileStore files;
    private final JobStore jobs;
    private final ResultReader results;
    private final Consumer<JobRecord> onAccepted;
    private final Consumer<JobRecord> onCancelled;
    private final Cache<String, JobRecord.Outcome> progress;
    private final Semaphore uploads = new Semaphore(MAX_UPLOADS);

    /**
     * Creates the endpoint.
     *
     * @param onAccepted called with each accepted job that is to be run
     * @param onCancelled called with each job whose cancellation was accepted
     * @param clock the clock
     */
    BatchApi(
            CallerAuthentication authentication,
            FileStore files,
            JobStore jobs,
            ResultReader results,
            Consumer<JobRecord> onAccepted,
            Consumer<JobRecord> onCancelled,
            Clock clock) {
        this.authentication = checkNotNull(authentication, "authentication");
        this.files = checkNotNull(files, "files");
        this.jobs = checkNotNull(jobs, "jobs");
        this.results = checkNotNull(results, "results");
        this.onAccepted = checkNotNull(onAccepted, "onAccepted");
        this.onCancelled = checkNotNull(onCancelled, "onCancelled");
        this.progress =
                CacheBuilder.newBuilder()
                        .maximumSize(MAX_CACHED_PROGRESS)
                        .expireAfterWrite(PROGRESS_CACHE_TTL)
                        .ticker(
                                new Ticker() {
                                    @Override
                                    public long read() {
                                        return clock.nanoTime();
                                    }
                                })
                        .build();
    }

    @Override
    public void handle(HttpServerExchange exchange) throws IOException {
        Contract contract = authentication.customer(exchange);
        String[] path = exchange.getRequestPath().replaceFirst("/+$", "").substring(1).split("/");
        switch (path[1]) {
            case "files" -> handleFiles(exchange, contract, path);
            case "batches" -> handleJobs(exchange, contract, path);
            default -> throw notFound(exchange.getRequestPath());
        }
    }

    @Override
    public long maxBodyBytes() {
        return UploadReader.MAX_BODY_BYTES;
    }

    private void handleFiles(HttpServerExchange exchange, Contract contract, String[] path)
            throws IOException {
        HttpString method = exchange.getRequestMethod();
        if (path.length == PATH_COLLECTION && method.equals(Methods.GET)) {
            listFiles(exchange, contract);
        } else if (path.length == PATH_COLLECTION && method.equals(Methods.POST)) {
            upload(exchange, contract);
        } else if (path.length == PATH_MEMBER && method.equals(Methods.GET)) {
            send(exchange, fileView(contract, path[2]));
        } else if (path.length == PATH_MEMBER && method.equals(Methods.DELETE)) {
            if (!files.delete(contract.customer(), path[2])) {
                throw notFound(path[2]);
            }
            send(exchange, BatchViews.deleted(path[2]));
        } else if (path.length == PATH_ACTION
                && path[3].equals("content")
                && method.equals(Methods.GET)) {
            sendContent(exchange, contract, path[2]);
        } else {
            throw path.length <= PATH_MEMBER ? methodNotAllowed(method) : notFound(path[2]);
        }
    }

    private void handleJobs(HttpServerExchange exchange, Contract contract, String[] path)
            throws IOException {
        HttpString method = exchange.getRequestMethod();
        if (path.length == PATH_COLLECTION && method.equals(Methods.GET)) {
            list(
                    exchange,
                    (after, limit) -> jobs.list(contract.customer(), after, limit),
                    this::jobView);
        } else if (path.length == PATH_COLLECTION && method.equals(Methods.POST)) {
            submit(exchange, contract);
        } else if (path.length == PATH_MEMBER && method.equals(Methods.GET)) {
            JobRecord job =
                    jobs.find(contract.customer(), path[2]).orElseThrow(() -> notFound(path[2]));
            send(exchange, jobView(job));
        } else if (path.length == PATH_ACTION
                && path[3].equals("cancel")
                && method.equals(Methods.POST)) {
            JobRecord job = jobs.cancel(contract.customer(), path[2]);
            onCancelled.accept(job);
            send(exchange, jobView(job));
        } else {
            throw path.length <= PATH_MEMBER ? methodNotAllowed(method) : notFound(path[2]);
        }
    }

    private void upload(HttpServerExchange exchange, Contract contract) throws IOException {
        if (!uploads.tryAcquire()) {
            throw new FuchsiaspindleException(
                    ResultCode.OVERLOADED, MAX_UPLOADS + " uploads are in progress at this entry");
        }
        try {
            FileStore.Upload upload = files.begin(contract);
            try {
                UploadReader form = UploadReader.read(exchange, upload.parts());
                if (!form.field("purpose").equals("batch")) {
                    throw new FuchsiaspindleException(
                            ResultCode.UNSUPPORTED_PARAMETER,
                            "purpose is not batch: " + form.field("purpose"));
                }
                FileRecord file = files.commit(upload, contract, form.fileName());
                LOG.info(
                        "batch: file accepted file={} customer={} lines={} errors={}",
                        file.id(),
                        file.customer(),
                        file.lines(),
                        file.errorCount());
                send(exchange, BatchViews.file(file));
            } catch (FuchsiaspindleException e) {
                discard(upload, e);
                throw e;
            } catch (IOException e) {
                discard(upload, e);
                throw e;
            }
        } finally {
            uploads.release();
        }
    }

    /** Deletes the parts of a failed upload unless the row of the file may have been written. */
    private static void discard(FileStore.Upload upload, Exception failure) {
        if (failure instanceof FuchsiaspindleException error
                && error.code() == ResultCode.WRITE_OUTCOME_UNKNOWN) {
            return;
        }
        try {
            upload.parts().deleteParts();
        } catch (FuchsiaspindleException e) {
            LOG.warn("batch: parts of aborted upload not deleted file={}", upload.id(), e);
        }
    }

    private void submit(HttpServerExchange exchange, Contract contract) throws IOException {
        JsonNode body = readJson(exchange);
        JobRequest request =
                new JobRequest(
                        requiredString(body, "input_file_id"),
                        requiredString(body, "endpoint"),
                        requiredString(body, "completion_window"),
                        metadata(body));
        Optional<String> key =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY));
        if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_CHARS)) {
            throw new FuchsiaspindleException(
                    ResultCode.UNSUPPORTED_PARAMETER,
                    "Idempotency-Key does not have 1 to " + MAX_KEY_CHARS + " characters");
        }
        JobRecord job = jobs.submit(contract, request, key);
        LOG.info(
                "batch: job accepted job={} customer={} status={} items={} segment_items={}",
                job.id(),
                job.customer(),
                job.status().wireName(),
                job.source().plan().items(),
                job.source().segmentItems());
        if (job.status() == JobStatus.IN_PROGRESS) {
            onAccepted.accept(job);
        }
        send(exchange, jobView(job));
    }

    private ObjectNode fileView(Contract contract, String id) {
        Optional<ResultFile> result = resultFile(contract, id);
        return result.map(BatchViews::file)
                .orElseGet(
                        () ->
                                files.find(contract.customer(), id)
                                        .map(BatchViews::file)
                                        .orElseThrow(() -> notFound(id)));
    }

    private void sendContent(HttpServerExchange exchange, Contract contract, String id)
            throws IOException {
        Optional<ResultFile> result = resultFile(contract, id);
        if (result.isPresent()) {
            // The length lets the caller detect a truncated response.
            exchange.setResponseContentLength(result.get().bytes());
            copyContent(exchange, out -> results.copy(result.get(), out));
            return;
        }
        FileRecord file = files.find(contract.customer(), id).orElseThrow(() -> notFound(id));
        copyContent(
                exchange,
                out -> {
                    for (int part = 0; part < file.parts().size(); part++) {
                        out.write(files.part(id, part));
                    }
                });
    }

    /** Writes the content of a file. */
    private interface ContentWriter {
        void write(OutputStream out) throws IOException;
    }

    /**
     * Sends the content of a file. A failure after the first byte closes the connection: the caller
     * would read an error object as part of the file, and a regular end as the complete file.
     */
    private static void copyContent(HttpServerExchange exchange, ContentWriter content)
            throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/octet-stream");
        CountingOutputStream out = new CountingOutputStream(exchange.getOutputStream());
        try {
            content.write(out);
        } catch (FuchsiaspindleException e) {
            if (out.getCount() > 0) {
                throw new IOException("file content could not be read completely", e);
            }
            exchange.getResponseHeaders().remove(Headers.CONTENT_LENGTH);
            throw e;
        }
        out.close();
    }

    private Optional<ResultFile> resultFile(Contract contract, String id) {
        return ResultFile.jobOf(id)
                .flatMap(job -> jobs.find(contract.customer(), job))
                .filter(job -> job.status().isFinal())
                .map(job -> new ResultFile(job, ResultFile.kindOf(id).orElseThrow()))
                .filter(file -> file.lines() > 0);
    }

    private ObjectNode jobView(JobRecord job) {
        boolean ended = job.status().isFinal();
        if (ended) {
            return BatchViews.job(job, job.outcome());
        }
        JobRecord.Outcome outcome = progress.getIfPresent(job.id());
        if (outcome == null) {
            outcome = results.progress(job.id());
            progress.put(job.id(), outcome);
        }
        return BatchViews.job(job, outcome);
    }

    private void listFiles(HttpServerExchange exchange, Contract contract) {
        list(
                exchange,
                (after, limit) -> files.list(contract.customer(), after, limit),
                BatchViews::file);
    }

    /** Reads a page of the records that follow an identifier. */
    private interface PageReader<T> {
        List<T> read(String after, int limit);
    }

    private static <T> void list(
            HttpServerExchange exchange, PageReader<T> reader, Function<T, ObjectNode> view) {
        int limit = pageSize(exchange);
        List<T> page = reader.read(parameter(exchange, "after").orElse(""), limit + 1);
        boolean hasMore = page.size() > limit;
        List<T> shown = hasMore ? page.subList(0, limit) : page;
        send(exchange, BatchViews.list(shown.stream().map(view).toList(), hasMore));
    }

    private static int pageSize(HttpServerExchange exchange) {
        String text = parameter(exchange, "limit").orElse(Integer.toString(DEFAULT_PAGE_SIZE));
        try {
            return Math.clamp(Integer.parseInt(text), 1, MAX_PAGE_SIZE);
        } catch (NumberFormatException e) {
            throw new FuchsiaspindleException(
                    ResultCode.UNSUPPORTED_PARAMETER, "limit is not a number: " + text, e);
        }
    }

    private static Optional<String> parameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
    }

    private static JsonNode readJson(HttpServerExchange exchange) throws IOException {
        byte[] body = exchange.getInputStream().readNBytes(MAX_REQUEST_BYTES + 1);
        if (body.length > MAX_REQUEST_BYTES) {
            throw new FuchsiaspindleException(
                    ResultCode.BODY_TOO_LARGE,
                    "the body has more than " + MAX_REQUEST_BYTES + " bytes");
        }
        try {
            return BatchJson.MAPPER.readTree(body);
        } catch (IOException e) {
            throw new FuchsiaspindleException(
                    ResultCode.MALFORMED_REQUEST, "the body is not valid JSON", e);
        }
    }

    private static Map<String, String> metadata(JsonNode body) {
        Map<String, String> metadata = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : body.path("metadata").properties()) {
            if (!entry.getValue().isTextual()) {
                throw new FuchsiaspindleException(
                        ResultCode.MALFORMED_REQUEST,
                        "metadata value is not a string: " + entry.getKey());
            }
            metadata.put(entry.getKey(), entry.getValue().textValue());
        }
        return metadata;
    }

    private static String requiredString(JsonNode body, String field) {
        JsonNode value = body.path(field);
        if (!value.isTextual()) {
            throw new FuchsiaspindleException(
                    ResultCode.MALFORMED_REQUEST, "the body has no string field " + field);
        }
        return value.textValue();
    }

    private static void send(HttpServerExchange exchange, ObjectNode view) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(view.toString());
    }

    private static FuchsiaspindleException notFound(String what) {
        return new FuchsiaspindleException(ResultCode.NOT_FOUND, "no such resource: " + what);
    }

    private static FuchsiaspindleException methodNotAllowed(HttpString method) {
        return new FuchsiaspindleException(
                ResultCode.METHOD_NOT_ALLOWED, "method not supported here: " + method);
    }
}
