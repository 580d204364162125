package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.workspace.WorkspaceDirectory;

/** One version of the routes, workspaces and limits. Immutable and thread-safe. */
public final class ServingConfig {

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final ClientLimits limits;
    private final WorkspaceDirectory workspaces;
    private final ImmutableMap<String, TargetModel> models;

    private ServingConfig(
            long version,
            Map<String, List<Route>> routesByHost,
            ClientLimits limits,
            WorkspaceDirectory workspaces,
            ImmutableMap<String, TargetModel> models) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.limits = limits;
        this.workspaces = workspaces;
        this.models = models;
    }

    /**
     * Creates a configuration without workspaces and model engines.
     *
     * @param version the version, larger than that of every earlier configuration
     * @param routes all routes, not null
     * @param limits the limits for clients, not null
     */
    public static ServingConfig of(long version, List<Route> routes, ClientLimits limits) {
        return of(version, routes, limits, WorkspaceDirectory.NONE, ImmutableMap.of());
    }

    /**
     * Creates a configuration.
     *
     * @param version the version, larger than that of every earlier configuration
     * @param routes all routes, not null
     * @param limits the limits for clients, not null
     * @param workspaces the workspaces, not null
     * @param models the model engines by service, without the services that have none
     */
    public static ServingConfig of(
            long version,
            List<Route> routes,
            ClientLimits limits,
            WorkspaceDirectory workspaces,
            ImmutableMap<String, TargetModel> models) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(hostKey(route.host()), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> -route.pathPrefix().length());
        byHost.values().forEach(list -> list.sort(longestFirst));
        return new ServingConfig(
                version,
                byHost,
                checkNotNull(limits, "limits"),
                checkNotNull(workspaces, "workspaces"),
                checkNotNull(models, "models"));
    }

    /** Returns the version. */
    public long version() {
        return version;
    }

    /** Returns the limits for clients, never null. */
    public ClientLimits limits() {
        return limits;
    }

    /** Returns the workspaces, never null. */
    public WorkspaceDirectory workspaces() {
        return workspaces;
    }

    /** Returns the model engines of a service, empty if it has none. */
    public Optional<TargetModel> model(String service) {
        return Optional.ofNullable(models.get(service));
    }

    /**
     * Returns the route with the longest prefix that matches a path.
     *
     * @param host the host named by the request, without a port
     * @param path the path without the query
     */
    public Optional<Route> match(String host, String path) {
        for (Route route : routesByHost.getOrDefault(hostKey(host), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a host has a batch route, and so calls on its jobs. */
    public boolean hasBatchRoute(String host) {
        return routesByHost.getOrDefault(hostKey(host), List.of()).stream()
                .anyMatch(route -> route.kind() == RouteKind.BATCH);
    }

    /**
     * Returns the route of accepted batch work in this version, empty if it was removed.
     *
     * <p>Accepted work stays on the route that accepted it, whatever routes are added above or
     * below its path later. If no batch route has the name any more, the batch route with the
     * longest prefix that matches the path continues the work, so that a renamed route abandons
     * nothing.
     *
     * @param name the name of the route that accepted the work
     * @param host the host named by the submission, without a port
     * @param path the path of the submission without the query
     */
    public Optional<Route> batchRoute(String name, String host, String path) {
        List<Route> batchRoutes =
                routesByHost.getOrDefault(hostKey(host), List.of()).stream()
                        .filter(route -> route.kind() == RouteKind.BATCH)
                        .toList();
        return batchRoutes.stream()
                .filter(route -> route.name().equals(name))
                .findFirst()
                .or(
                        () ->
                                batchRoutes.stream()
                                        .filter(route -> path.startsWith(route.pathPrefix()))
                                        .findFirst());
    }

    private static String hostKey(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
