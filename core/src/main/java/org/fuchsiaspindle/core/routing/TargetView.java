package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.fuchsiaspindle.core.membership.Rendezvous;

/**
 * The bounded subset of the targets of one model or service that an entry considers. Immutable.
 *
 * <p>The bound keeps the cost of a decision independent of the size of the fleet.
 */
public final class TargetView {

    /** Largest number of targets in a view. */
    public static final int MAX_TARGETS = 48;

    /** A view without targets. */
    public static final TargetView EMPTY = new TargetView(ImmutableList.of());

    private final ImmutableList<RoutingTarget> targets;

    private TargetView(ImmutableList<RoutingTarget> targets) {
        this.targets = targets;
    }

    /**
     * Returns the view of an entry in O(n log n). Targets in its own data centre come first; within
     * each group, the highest rendezvous weights do.
     *
     * @param entry the entry's instance identifier
     * @param dataCentre the entry's data centre
     * @param targets all targets of the model or service
     */
    public static TargetView of(
            String entry, String dataCentre, Collection<RoutingTarget> targets) {
        checkNotNull(entry, "entry");
        checkNotNull(dataCentre, "dataCentre");
        record Weighted(RoutingTarget target, boolean remote, long weight) {}
        List<Weighted> weighted = new ArrayList<>(targets.size());
        for (RoutingTarget target : targets) {
            weighted.add(
                    new Weighted(
                            target,
                            !target.dataCentre().equals(dataCentre),
                            Rendezvous.weight(entry, target.id())));
        }
        weighted.sort(
                Comparator.comparing(Weighted::remote)
                        .thenComparing((a, b) -> Long.compareUnsigned(b.weight(), a.weight()))
                        .thenComparing(w -> w.target().id()));
        return new TargetView(
                weighted.stream()
                        .limit(MAX_TARGETS)
                        .map(Weighted::target)
                        .collect(ImmutableList.toImmutableList()));
    }

    /** Returns the targets, the preferred ones first. */
    public ImmutableList<RoutingTarget> targets() {
        return targets;
    }
}
