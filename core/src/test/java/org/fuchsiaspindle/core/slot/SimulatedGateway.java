package org.fuchsiaspindle.core.slot;

import static org.fuchsiaspindle.core.slot.ExchangeSimulation.MILLI;
import static org.fuchsiaspindle.core.slot.ExchangeSimulation.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.slot.ExchangeSimulation.Message;
import org.fuchsiaspindle.core.slot.SlotDecision.BatchGranted;
import org.fuchsiaspindle.core.slot.SlotDecision.Granted;
import org.fuchsiaspindle.core.slot.SlotDecision.Preempted;
import org.fuchsiaspindle.core.slot.SlotDecision.Queued;
import org.fuchsiaspindle.core.slot.SlotDecision.Refused;
import org.fuchsiaspindle.core.work.RequestSize;

/** One gateway of an {@link ExchangeSimulation}, which obtains slots and coordinates the pool. */
final class SimulatedGateway {

    private static final long ANSWER_TIMEOUT = 120 * MILLI;
    private static final long EXCLUSION = 2 * SECOND;
    private static final long SILENCE_LIMIT = 1700 * MILLI;
    private static final long DUE_MILLIS = 1000;

    /** Time in which an online request must start. */
    private static final long START_TIME = 4 * SECOND;

    private final ExchangeSimulation simulation;
    private final int index;
    private final SimulatedCoordinator coordinator;
    private final Map<Integer, Long> heardNanos = new HashMap<>();
    private final Map<Integer, Long> unansweredSinceNanos = new HashMap<>();
    private final Map<Integer, Long> excludedUntilNanos = new HashMap<>();
    private long frozenUntilNanos;
    private boolean stopping;
    private int incarnation;

    private PoolExchange exchange;
    private final Map<Long, Run> runs = new HashMap<>();
    private final Map<Long, OnlineRequest> requests = new HashMap<>();
    private int waitingItems;

    /** An item or request in a slot. */
    private record Run(HeldSlot slot, long nanos, int incarnation) {}

    /** An online request that waits for a slot. */
    private static final class OnlineRequest {
        private final long startUntilNanos;
        private final long runNanos;
        private long ticket;
        private boolean queued;

        OnlineRequest(long startUntilNanos, long runNanos) {
            this.startUntilNanos = startUntilNanos;
            this.runNanos = runNanos;
        }
    }

    SimulatedGateway(ExchangeSimulation simulation, int index) {
        this.simulation = simulation;
        this.index = index;
        coordinator = new SimulatedCoordinator(simulation, this);
    }

    int index() {
        return index;
    }

    private String ip() {
        return "10.0.0." + index;
    }

    static int indexOf(String ip) {
        return Integer.parseInt(ip.substring(ip.lastIndexOf('.') + 1));
    }

    int waitingItems() {
        return waitingItems;
    }

    int openRequests() {
        return requests.size();
    }

    /** Returns the slots that the coordinator of this gateway believes to be occupied. */
    int slotsOccupiedAtCoordinator() {
        if (exchange == null) {
            return 0;
        }
        return simulation.gateways.get(indexOf(exchange.coordinator())).coordinator.occupiedSlots();
    }

    long runningOn(String target) {
        return runs.values().stream().filter(run -> run.slot().target().equals(target)).count();
    }

    String state() {
        return "gateway %d: coordinator %s, waiting %d, requests %d, running %d, occupied there %d"
                .formatted(
                        index,
                        exchange == null ? "-" : exchange.coordinator(),
                        waitingItems,
                        requests.size(),
                        runs.size(),
                        slotsOccupiedAtCoordinator());
    }

    // Faults and load

    /** Runs an action when this gateway is not frozen. */
    void execute(Runnable action) {
        if (simulation.now() < frozenUntilNanos) {
            simulation.at(frozenUntilNanos, () -> execute(action));
        } else {
            action.run();
        }
    }

    void freeze(long nanos) {
        frozenUntilNanos = Math.max(frozenUntilNanos, simulation.now() + nanos);
    }

    /** Ends the process, and starts another one, which knows nothing. */
    void restart() {
        incarnation++;
        exchange = null;
        runs.clear();
        requests.clear();
        waitingItems = 0;
        coordinator.reset();
        heardNanos.clear();
        unansweredSinceNanos.clear();
        excludedUntilNanos.clear();
        for (SimulatedGateway peer : simulation.gateways) {
            if (peer != this) {
                simulation.link(index, peer.index).replace(false);
                simulation.link(peer.index, index).replace(true);
            }
        }
    }

    /** Lets nobody choose this gateway as coordinator for some time, as before a planned stop. */
    void stop(long nanos) {
        setStopping(true);
        simulation.after(nanos, () -> setStopping(false));
    }

    private void setStopping(boolean value) {
        stopping = value;
        for (SimulatedGateway peer : simulation.gateways) {
            long delay = peer == this ? 0 : MILLI + simulation.random.nextLong(20 * MILLI);
            simulation.after(delay, () -> peer.execute(peer::refreshCoordinator));
        }
    }

    void addItems(int count) {
        waitingItems += count;
        sendDemand();
    }

    /** Ends the jobs whose items wait. */
    void withdrawItems() {
        waitingItems = 0;
        sendDemand();
    }

    void addRequest() {
        OnlineRequest request =
                new OnlineRequest(
                        simulation.now() + START_TIME,
                        20 * MILLI + simulation.random.nextLong(200 * MILLI));
        ask(request);
    }

    // Peers

    void receive(int from, Message message) {
        execute(() -> handle(from, message));
    }

    private void handle(int from, Message message) {
        boolean isHeard = from == index || heardNanos.containsKey(from);
        if (from != index) {
            heardNanos.put(from, simulation.now());
            unansweredSinceNanos.remove(from);
        }
        if (!isHeard) {
            refreshCoordinator();
        }
        switch (message) {
            case Message.Heartbeat heartbeat -> {
                if (heartbeat.first() && isHeard) {
                    beginExchangeWith(from);
                    coordinator.recordLoss(ip(from));
                }
            }
            case Message.Decision decision -> handle(from, decision.decision());
            case Message.Query query -> answerQuery(from, ReceivedGrants.NO_EXCHANGE);
            default -> coordinator.handle(ip(from), message);
        }
    }

    void removeSilentPeers() {
        for (Map.Entry<Integer, Long> heard : List.copyOf(heardNanos.entrySet())) {
            if (simulation.now() - heard.getValue() > SILENCE_LIMIT) {
                peerLost(heard.getKey());
                simulation.link(index, heard.getKey()).replace(false);
            }
        }
    }

    void peerLost(int peer) {
        if (heardNanos.remove(peer) != null) {
            unansweredSinceNanos.remove(peer);
            excludedUntilNanos.remove(peer);
            coordinator.removeHolder(ip(peer));
            refreshCoordinator();
        }
    }

    void connected(int peer) {
        beginExchangeWith(peer);
        coordinator.recordLoss(ip(peer));
        refreshCoordinator();
    }

    private void beginExchangeWith(int peer) {
        if (exchange != null && indexOf(exchange.coordinator()) == peer) {
            beginExchange(peer);
        }
    }

    void framesLost(int peer) {
        execute(
                () -> {
                    if (exchange != null && indexOf(exchange.coordinator()) == peer) {
                        beginExchange(peer);
                    } else {
                        send(peer, new Message.Holdings(simulation.unique(), List.of()));
                    }
                    coordinator.recordLoss(ip(peer));
                });
    }

    boolean send(int to, Message message) {
        if (to == index) {
            int sentBy = incarnation;
            simulation.after(
                    0,
                    () ->
                            execute(
                                    () -> {
                                        if (sentBy == incarnation) {
                                            handle(index, message);
                                        }
                                    }));
            return true;
        }
        return simulation.link(index, to).send(message);
    }

    private int chooseCoordinator() {
        for (SimulatedGateway candidate : simulation.gateways) {
            if (candidate == this && !stopping || candidate != this && isUsable(candidate)) {
                return candidate.index;
            }
        }
        return index;
    }

    private boolean isUsable(SimulatedGateway candidate) {
        Long excludedUntil = excludedUntilNanos.get(candidate.index);
        return !candidate.stopping
                && heardNanos.containsKey(candidate.index)
                && simulation.link(index, candidate.index).isOpen()
                && (excludedUntil == null || simulation.now() >= excludedUntil);
    }

    // Holder

    private PoolExchange exchange() {
        if (exchange == null) {
            String chosen = ip(chooseCoordinator());
            exchange = new PoolExchange(chosen, simulation.unique(), simulation.now());
            sendHoldings();
        }
        return exchange;
    }

    private String ip(int peer) {
        return simulation.gateways.get(peer).ip();
    }

    private boolean holdsOrRequestsSlots() {
        return !runs.isEmpty() || !requests.isEmpty();
    }

    private boolean isInUse() {
        return holdsOrRequestsSlots() || exchange.hasSentDemand();
    }

    void targetsChanged() {
        coordinator.targetsChanged();
        if (exchange != null && simulation.targets().isEmpty() && !isInUse()) {
            exchange = null;
        }
    }

    void failRunsOnMissingTargets() {
        for (Run run : List.copyOf(runs.values())) {
            if (!simulation.hasTarget(run.slot().target())) {
                end(run, LeaseOutcome.UNREACHABLE);
            }
        }
    }

    private void refreshCoordinator() {
        if (exchange == null) {
            return;
        }
        int chosen = chooseCoordinator();
        int current = indexOf(exchange.coordinator());
        if (chosen != current) {
            send(current, new Message.Holdings(simulation.unique(), List.of()));
            beginExchange(chosen);
        }
    }

    private void beginExchange(int chosen) {
        exchange.begin(ip(chosen), simulation.unique(), simulation.now());
        sendHoldings();
        for (OnlineRequest request : List.copyOf(requests.values())) {
            withdraw(request);
            ask(request);
        }
        sendDemand();
    }

    private void sendHoldings() {
        List<HeldSlot> slots = new ArrayList<>();
        runs.values().forEach(run -> slots.add(run.slot()));
        send(
                indexOf(exchange.coordinator()),
                new Message.Holdings(exchange.received().exchange(), slots));
    }

    private void sendDemand() {
        if (waitingItems == 0 && exchange == null) {
            return;
        }
        exchange()
                .demandToSend(
                        waitingItems, DUE_MILLIS, ExchangeSimulation.none(), 0, simulation.now())
                .ifPresent(
                        demand ->
                                send(indexOf(exchange.coordinator()), new Message.Demand(demand)));
    }

    void tick() {
        if (exchange != null) {
            checkAnswers();
            refreshCoordinator();
        }
        sendDemand();
        coordinator.tick();
    }

    private void checkAnswers() {
        unansweredSinceNanos
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean replaced =
                                    simulation.now() - entry.getValue()
                                            > ExchangeSimulation.REPLACEMENT;
                            if (replaced) {
                                excludedUntilNanos.put(
                                        entry.getKey(), simulation.now() + EXCLUSION);
                            }
                            return replaced;
                        });
        for (OnlineRequest request : List.copyOf(requests.values())) {
            // Nothing is decided while the process is frozen.
            long decidedNanos = Math.max(request.startUntilNanos, frozenUntilNanos);
            if (simulation.now() > decidedNanos + SECOND) {
                simulation.violations.add(
                        "request of gateway " + index + " unanswered at " + simulation.time());
                withdraw(request);
            }
        }
    }

    private void ask(OnlineRequest request) {
        request.ticket = -simulation.unique();
        request.queued = false;
        exchange();
        requests.put(request.ticket, request);
        int asked = indexOf(exchange.coordinator());
        long askedNanos = simulation.now();
        long ticket = request.ticket;
        send(
                asked,
                new Message.Request(
                        new SlotRequest(
                                ip(),
                                ticket,
                                true,
                                0,
                                "",
                                RequestSize.UNKNOWN,
                                request.startUntilNanos,
                                request.startUntilNanos,
                                ExchangeSimulation.none(),
                                true)));
        int askedBy = incarnation;
        simulation.after(
                ANSWER_TIMEOUT,
                () ->
                        execute(
                                () -> {
                                    if (askedBy == incarnation
                                            && requests.get(ticket) == request
                                            && !request.queued) {
                                        answerMissing(request, asked, askedNanos);
                                    }
                                }));
    }

    private void answerMissing(OnlineRequest request, int asked, long askedNanos) {
        if (asked != index) {
            unansweredSinceNanos.putIfAbsent(asked, askedNanos);
        }
        withdraw(request);
        if (simulation.now() < request.startUntilNanos) {
            ask(request);
        }
    }

    private void withdraw(OnlineRequest request) {
        requests.remove(request.ticket);
        send(
                indexOf(exchange.coordinator()),
                new Message.Release(request.ticket, RunReport.unused(LeaseOutcome.CANCELLED)));
    }

    private void handle(int from, SlotDecision decision) {
        switch (decision) {
            case Granted granted -> startRequest(from, granted);
            case Queued queued -> {
                if (requests.containsKey(queued.ticket())) {
                    requests.get(queued.ticket()).queued = true;
                }
            }
            case SlotDecision.HoldingsQueried query -> answerQuery(from, query.exchange());
            case Refused refused -> requests.remove(refused.ticket());
            case BatchGranted granted -> startItem(from, granted);
            case Preempted preempted -> {
                if (exchange != null && exchange.includes(ip(from), preempted.exchange())) {
                    if (runs.remove(preempted.ticket()) != null) {
                        waitingItems++;
                    }
                }
            }
        }
    }

    private void startRequest(int from, Granted granted) {
        OnlineRequest request = requests.remove(granted.ticket());
        if (request == null) {
            sendRelease(from, granted.ticket(), LeaseOutcome.CANCELLED);
            return;
        }
        start(
                new HeldSlot(granted.ticket(), granted.target(), TrafficClass.ONLINE, 0, 0),
                request.runNanos);
    }

    private void startItem(int from, BatchGranted granted) {
        if (!exchange().includes(ip(from), granted.exchange())) {
            simulation.returnedGrants++;
            sendRelease(from, granted.ticket(), LeaseOutcome.CANCELLED);
            return;
        }
        exchange.countGrant();
        if (waitingItems == 0) {
            sendRelease(from, granted.ticket(), LeaseOutcome.CANCELLED);
            return;
        }
        waitingItems--;
        start(
                new HeldSlot(
                        granted.ticket(),
                        granted.target(),
                        TrafficClass.BATCH,
                        granted.dueMillis(),
                        0),
                100 * MILLI + simulation.random.nextLong(400 * MILLI));
    }

    private void start(HeldSlot slot, long nanos) {
        Run run = new Run(slot, nanos, incarnation);
        runs.put(slot.ticket(), run);
        if (!simulation.hasTarget(slot.target())) {
            end(run, LeaseOutcome.UNREACHABLE);
            return;
        }
        simulation.checkSlots();
        simulation.after(nanos, () -> execute(() -> end(run, LeaseOutcome.DONE)));
    }

    private void end(Run run, LeaseOutcome outcome) {
        if (!runs.remove(run.slot().ticket(), run)) {
            return;
        }
        if (run.slot().trafficClass() == TrafficClass.BATCH && outcome != LeaseOutcome.DONE) {
            waitingItems++;
        }
        sendRelease(indexOf(exchange().coordinator()), run.slot().ticket(), outcome);
    }

    private void sendRelease(int to, long ticket, LeaseOutcome outcome) {
        send(to, new Message.Release(ticket, RunReport.unused(outcome)));
    }

    private void answerQuery(int from, long about) {
        if (exchange == null) {
            if (about != ReceivedGrants.NO_EXCHANGE) {
                send(from, new Message.Holdings(simulation.unique(), List.of()));
            }
            return;
        }
        refreshCoordinator();
        boolean hasReport = holdsOrRequestsSlots();
        switch (exchange.answerQuery(ip(from), about, hasReport, simulation.now())) {
            case BEGIN -> beginExchange(from);
            case REPEAT_DEMAND -> {
                exchange.repeatDemand(simulation.now());
                sendDemand();
            }
            case NOTHING_HELD -> send(from, new Message.Holdings(simulation.unique(), List.of()));
            default -> {
                // Heartbeats show whether its coordinator answers.
            }
        }
    }
}
