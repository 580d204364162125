package org.fuchsiaspindle.core.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.fuchsiaspindle.core.id.Ids;

/**
 * A plain service, and the rules that state which of its calls may be repeated.
 *
 * @param name the service's name
 * @param rules rules in order; the first that matches a call applies
 * @param timeout time that a call may take
 */
public record ServiceDefinition(String name, ImmutableList<CallRule> rules, Duration timeout) {

    /** Validates the components. */
    public ServiceDefinition {
        Ids.checkName("service", name);
        checkNotNull(rules, "rules");
        checkNotNull(timeout, "timeout");
    }

    /**
     * Rule that states whether matching calls may be repeated.
     *
     * @param method HTTP method, or {@code *} for all
     * @param pathPrefix prefix of the path within the service, starting with a slash
     * @param repeatable true if a call may be sent again after an unknown outcome
     */
    public record CallRule(String method, String pathPrefix, boolean repeatable) {

        /** Validates the components. */
        public CallRule {
            checkNotNull(method, "method");
            checkNotNull(pathPrefix, "pathPrefix");
        }
    }

    /**
     * Returns true if a call may be repeated. Calls that no rule matches may not.
     *
     * @param method the HTTP method
     * @param path the path within the service, without query
     */
    public boolean isRepeatable(String method, String path) {
        for (CallRule rule : rules) {
            boolean methodMatches = rule.method().equals("*") || rule.method().equals(method);
            if (methodMatches && path.startsWith(rule.pathPrefix())) {
                return rule.repeatable();
            }
        }
        return false;
    }
}
