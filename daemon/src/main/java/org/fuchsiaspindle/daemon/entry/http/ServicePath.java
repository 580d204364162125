package org.fuchsiaspindle.daemon.entry.http;

import java.util.Locale;
import java.util.regex.Pattern;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * The components of a path {@code /services/{service}/{path}?{query}}.
 *
 * @param service the service's name
 * @param path the unmodified path inside the service, starting with a slash
 * @param query the query string with its question mark, or empty
 */
record ServicePath(String service, String path, String query) {

    private static final String PREFIX = "/services/";

    /**
     * Forms that a service may resolve to a different path than the one matched against the rules:
     * dot segments, empty segments, backslashes, parameters and percent-encoded characters.
     */
    private static final Pattern AMBIGUOUS =
            Pattern.compile("/\\.{1,2}(/|$)|//|\\\\|;|%(2e|2f|5c|25|3b)");

    /** Parses a raw request path. */
    static ServicePath parse(String rawPath, String queryString) {
        int start = rawPath.indexOf(PREFIX);
        String rest = start < 0 ? "" : rawPath.substring(start + PREFIX.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        if (service.isEmpty()) {
            throw new FuchsiaspindleException(
                    ResultCode.NOT_FOUND, "the path does not name a service");
        }
        return new ServicePath(
                service,
                slash < 0 ? "/" : rest.substring(slash),
                queryString.isEmpty() ? "" : "?" + queryString);
    }

    /** Returns false if the service may resolve the path to one that other rules apply to. */
    boolean isUnambiguous() {
        return !AMBIGUOUS.matcher(path.toLowerCase(Locale.ROOT)).find();
    }

    String pathAndQuery() {
        return path + query;
    }
}
