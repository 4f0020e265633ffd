package org.crocushaven.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.admission.FairQueue;
import org.crocushaven.admission.LoadPriority;
import org.crocushaven.admission.QueueEntry;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.placement.AdapterSlot.Status;
import org.crocushaven.placement.LoadPlanner.LoadDemand;
import org.crocushaven.result.ResultCode;

/**
 * Queues requests, grants permits and decides on loads and evictions for one backend server.
 *
 * <p>A permit pins its version until it is returned, or until its holder is lost and a report shows
 * that nothing runs on the version. After a takeover every reported version counts as pinned until
 * the re-declaration window has passed and a later report shows it idle.
 *
 * <p>An order of an earlier dispatcher that is still in flight could unload a version. Therefore no
 * permit for a version is granted until the backend server has confirmed an order with the new
 * fencing number or, if it ignores fencing numbers, until the lifetime of an order has passed.
 * Resident versions are exempt because no dispatcher unloads them.
 *
 * <p>Method calls are the inputs; {@link #takeActions} returns the resulting actions. Not
 * thread-safe.
 */
public final class BackendDispatcher {
    private static final long MINIMUM_RETRY_NANOS = 10_000_000;
    private static final long POPULARITY_HALF_LIFE_NANOS = 60_000_000_000L;
    private static final int POPULARITY_VERSIONS = 4096;

    private final long fencingNumber;
    private final DispatcherSettings settings;
    private final EvictionPolicy eviction;
    private final long takeoverNanos;
    private final AdapterSlots slots;
    private final PermitTable permits = new PermitTable();
    private final ServiceTimes times;
    private final LoadPlanner planner;
    private final PopularityTracker popularity;
    private final FairQueue<PermitRequest> queue;
    private final Set<String> requestsAwaitingLoad = new HashSet<>();
    private final SummaryTracker summaries;
    private List<DispatcherAction> actions = new ArrayList<>();
    private BackendServer server;
    private long reportSequence = -1;
    private int reportedRunning;
    private boolean reportReceived;
    private boolean fencingNumberConfirmed;
    private AdapterVersion fencingOrderVersion;
    private boolean superseded;
    private boolean draining;
    private boolean drainingReported;

    private BackendDispatcher(
            BackendServer server,
            long fencingNumber,
            DispatcherSettings settings,
            EvictionPolicy eviction,
            long nowNanos) {
        this.server = server;
        this.fencingNumber = fencingNumber;
        this.settings = settings;
        this.eviction = eviction;
        this.takeoverNanos = nowNanos;
        this.slots = new AdapterSlots(server.adapterSlots(), settings, nowNanos);
        this.times = new ServiceTimes(settings);
        this.popularity =
                PopularityTracker.create(POPULARITY_HALF_LIFE_NANOS, POPULARITY_VERSIONS, nowNanos);
        this.queue = FairQueue.create(settings.maximumQueueLength());
        this.summaries = new SummaryTracker(fencingNumber);
        this.planner =
                new LoadPlanner(
                        settings, slots, permits, eviction, times, fencingNumber, this::emit);
    }

    /** Returns a dispatcher for a backend server whose takeover happens now. */
    public static BackendDispatcher create(
            BackendServer server,
            long fencingNumber,
            DispatcherSettings settings,
            EvictionPolicy eviction,
            long nowNanos) {
        return new BackendDispatcher(server, fencingNumber, settings, eviction, nowNanos);
    }

    /**
     * Queues a request; it is answered by an action, possibly during this call. If the request
     * already holds a permit, the grant is repeated.
     */
    public void requestPermit(PermitRequest request, long nowNanos) {
        final Permit held = permits.get(request.requestId());
        if (held != null) {
            emit(grantAction(held, 0, false));
            return;
        }
        if (queue.contains(request.requestId())) {
            return;
        }
        final Optional<ResultCode> refusal = findRefusal(request, nowNanos);
        if (refusal.isPresent()) {
            refuse(request, refusal.get(), retryAfterNanos(request, refusal.get(), nowNanos));
            return;
        }
        request.version()
                .ifPresent(
                        version -> {
                            eviction.recordUse(version, nowNanos);
                            popularity.recordUse(version, nowNanos);
                            if (!slots.isServable(version)) {
                                requestsAwaitingLoad.add(request.requestId());
                            }
                        });
        queue.offer(toQueueEntry(request))
                .forEach(
                        dropped ->
                                refuse(
                                        dropped.payload(),
                                        ResultCode.QUEUE_FULL,
                                        times.serviceNanos()));
        dispatch(nowNanos);
    }

    /** Cancels a queued or granted request that was not sent and will not be sent. */
    public void cancelPermitRequest(String requestId, long nowNanos) {
        if (queue.remove(requestId).isPresent()) {
            requestsAwaitingLoad.remove(requestId);
            dispatch(nowNanos);
        } else {
            returnPermit(requestId, PermitOutcome.NOT_SENT, nowNanos);
        }
    }

    /** Removes a permit whose request has ended with the given outcome. */
    public void returnPermit(String requestId, PermitOutcome outcome, long nowNanos) {
        final Permit permit = permits.remove(requestId);
        if (permit == null) {
            return;
        }
        if (outcome == PermitOutcome.COMPLETED) {
            times.recordServiceTime(nowNanos - permit.grantedNanos());
        }
        if (outcome == PermitOutcome.MAY_STILL_RUN) {
            handleLostPermit(permit, nowNanos);
        }
        if (outcome == PermitOutcome.VERSION_NOT_LOADED) {
            permit.version().ifPresent(version -> slots.markMissing(version, nowNanos));
        }
        dispatch(nowNanos);
    }

    /**
     * Accepts a permit that an earlier dispatcher granted, or refuses it with {@link
     * ResultCode#PERMIT_STALE} if its version cannot serve or this dispatcher was superseded.
     */
    public void redeclarePermit(
            String holder,
            String requestId,
            Optional<AdapterVersion> version,
            long deadlineNanos,
            long nowNanos) {
        if (permits.get(requestId) != null) {
            return;
        }
        final boolean notServable =
                version.isPresent() && reportReceived && !slots.isServable(version.get());
        if (notServable || superseded) {
            emit(
                    new DispatcherAction.RefusePermit(
                            requestId, holder, ResultCode.PERMIT_STALE, MINIMUM_RETRY_NANOS));
            return;
        }
        permits.add(new Permit(requestId, holder, version, nowNanos, deadlineNanos));
    }

    /**
     * Treats permits of a holder as lost when the holder no longer lists them.
     *
     * @param asOfNanos a time before the holder made the list; permits granted later are ignored
     */
    public void reconcilePermits(
            String holder, Set<String> heldRequestIds, long asOfNanos, long nowNanos) {
        permits.matching(
                        permit ->
                                permit.holder().equals(holder)
                                        && permit.grantedNanos() - asOfNanos < 0
                                        && !heldRequestIds.contains(permit.requestId()))
                .forEach(permit -> handleLostPermit(permits.remove(permit.requestId()), nowNanos));
        dispatch(nowNanos);
    }

    /** Applies a report; one of an earlier incarnation, or repeated or out of order, is ignored. */
    public void applyLoadReport(LoadReport report, long nowNanos) {
        if (report.incarnation() < server.incarnation()
                || (report.incarnation() == server.incarnation()
                        && report.sequence() <= reportSequence)) {
            return;
        }
        if (report.incarnation() > server.incarnation()) {
            handleServerRestart(withIncarnation(report.incarnation()), nowNanos);
        }
        reportSequence = report.sequence();
        reportedRunning = report.running();
        drainingReported = report.draining();
        reportReceived = true;
        slots.applyReport(report, nowNanos);
        permits.applyReport(report.running(), settings.reportLagNanos(), nowNanos);
        dispatch(nowNanos);
    }

    /**
     * Discards the state recorded before a restart of the backend server.
     *
     * <p>Permits stay until they are returned: their holders may not know of the restart yet and
     * may send to the new incarnation.
     */
    public void handleServerRestart(BackendServer newServer, long nowNanos) {
        if (newServer.incarnation() <= server.incarnation()) {
            return;
        }
        server = newServer;
        reportSequence = -1;
        reportedRunning = 0;
        reportReceived = false;
        fencingNumberConfirmed = false;
        fencingOrderVersion = null;
        slots.handleServerRestart();
        dispatch(nowNanos);
    }

    /** Handles a load granted by the load budget. */
    public void handleLoadGrant(AdapterVersion version, long nowNanos) {
        planner.handleGrant(version, queuedVersions(), ordersAllowed(nowNanos), nowNanos);
        dispatch(nowNanos);
    }

    /** Handles a load refused by the load budget; it may be requested again. */
    public void handleLoadRefusal(AdapterVersion version) {
        planner.handleRefusal(version);
    }

    /** Handles the end of a load order with {@link ResultCode#OK} or the reason for its failure. */
    public void loadFinished(AdapterVersion version, ResultCode code, long nowNanos) {
        recordOrderResult(code);
        if (version.equals(fencingOrderVersion)) {
            fencingOrderVersion = null;
            dispatch(nowNanos);
            return;
        }
        if (planner.loadFinished(version, code, nowNanos)) {
            queue.removeIf(entry -> entry.payload().version().equals(Optional.of(version)))
                    .forEach(
                            entry ->
                                    refuse(
                                            entry.payload(),
                                            ResultCode.ADAPTER_LOAD_FAILED,
                                            planner.backoffNanos(version, nowNanos)));
        }
        dispatch(nowNanos);
    }

    /**
     * Handles the end of an unload order with {@link ResultCode#OK} or the reason for its failure.
     */
    public void unloadFinished(AdapterVersion version, ResultCode code, long nowNanos) {
        recordOrderResult(code);
        planner.unloadFinished(version, code, queuedVersions(), nowNanos);
        dispatch(nowNanos);
    }

    /**
     * Handles the loss of an instance whose session lease has expired, so that it sends no more.
     */
    public void handleHolderExpired(String instance, long nowNanos) {
        queue.removeIf(entry -> entry.payload().holder().equals(instance))
                .forEach(entry -> requestsAwaitingLoad.remove(entry.identifier()));
        permits.matching(permit -> permit.holder().equals(instance))
                .forEach(permit -> handleLostPermit(permits.remove(permit.requestId()), nowNanos));
        dispatch(nowNanos);
    }

    /** Sets whether the backend server gets new work; running requests are not affected. */
    public void setAcceptingWork(boolean value, long nowNanos) {
        draining = !value;
        dispatch(nowNanos);
    }

    /** Sets the versions that are always kept loaded. */
    public void setResidentVersions(Set<AdapterVersion> versions, long nowNanos) {
        planner.setResidents(versions);
        dispatch(nowNanos);
    }

    /** Handles expired deadlines and lost permits, and repeats unanswered load requests. */
    public void tick(long nowNanos) {
        permits.matching(permit -> nowNanos - permit.deadlineNanos() >= settings.permitGraceNanos())
                .forEach(permit -> handleLostPermit(permits.remove(permit.requestId()), nowNanos));
        planner.removeExpiredBackoffs(nowNanos);
        dispatch(nowNanos);
    }

    /** Returns and clears the actions decided since the last call, in order. */
    public List<DispatcherAction> takeActions() {
        final List<DispatcherAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Returns the current summary; its sequence grows only when its content changes. */
    public BackendSummary summary() {
        return summaries.update(
                server,
                slots.versions(slot -> slot.hasStatus(Status.LOADED) && !slot.isDraining()),
                slots.versions(slot -> slot.hasStatus(Status.LOADING)),
                freeRequestSlots(takeoverNanos + settings.redeclareWindowNanos()),
                queue.size(),
                permits.size(),
                isDraining());
    }

    /** Returns how many requests hold permits. */
    public int permitCount() {
        return permits.size();
    }

    /** Returns how many requests are queued. */
    public int queueLength() {
        return queue.size();
    }

    private void dispatch(long nowNanos) {
        queue.expire(nowNanos).forEach(entry -> refuse(entry, ResultCode.DEADLINE_PASSED));
        permits.expireLost(nowNanos);
        if (superseded || isDraining()) {
            final ResultCode code =
                    superseded ? ResultCode.NOT_DISPATCHER : ResultCode.NO_BACKEND_SERVER;
            queue.removeIf(entry -> true).forEach(entry -> refuse(entry, code));
            planner.cancelAll();
            return;
        }
        requestFencingConfirmation(nowNanos);
        grantPermits(nowNanos);
        if (ordersAllowed(nowNanos) && slots.capacity() > 0) {
            planLoads(nowNanos);
        }
    }

    private void grantPermits(long nowNanos) {
        while (queue.size() > 0 && freeRequestSlots(nowNanos) > 0) {
            final Optional<QueueEntry<PermitRequest>> next = nextEntry(nowNanos);
            if (next.isEmpty()) {
                return;
            }
            queue.removeServed(next.get());
            final PermitRequest request = next.get().payload();
            final Permit permit =
                    new Permit(
                            request.requestId(),
                            request.holder(),
                            request.version(),
                            nowNanos,
                            request.deadlineNanos());
            permits.add(permit);
            final boolean waited = requestsAwaitingLoad.remove(request.requestId());
            emit(grantAction(permit, nowNanos - request.arrivalNanos(), waited));
        }
    }

    /**
     * Returns the next request in fair order. Until that one has waited for the batching time, a
     * request of the same organisation that is at least as urgent and has a pinned version is
     * preferred, because it joins a running batch.
     */
    private Optional<QueueEntry<PermitRequest>> nextEntry(long nowNanos) {
        final Optional<QueueEntry<PermitRequest>> first =
                queue.peek(entry -> isServable(entry.payload(), nowNanos));
        if (first.isEmpty()
                || nowNanos - first.get().arrivalNanos() >= settings.batchingWaitNanos()) {
            return first;
        }
        final String organisation = first.get().organisation();
        final Optional<QueueEntry<PermitRequest>> batched =
                queue.peek(
                        entry ->
                                entry.organisation().equals(organisation)
                                        && entry.urgency() <= first.get().urgency()
                                        && entry.payload()
                                                .version()
                                                .filter(permits::isPinned)
                                                .isPresent()
                                        && isServable(entry.payload(), nowNanos));
        return batched.isPresent() ? batched : first;
    }

    private void planLoads(long nowNanos) {
        final Map<AdapterVersion, LoadDemand> demands = new HashMap<>();
        boolean starving = false;
        for (final QueueEntry<PermitRequest> entry : queue.entries()) {
            final PermitRequest request = entry.payload();
            if (request.version().isEmpty() || slots.isOccupied(request.version().get())) {
                continue;
            }
            demands.merge(
                    request.version().get(), toDemand(request), BackendDispatcher::mergeDemands);
            starving |= nowNanos - entry.arrivalNanos() >= settings.starvationNanos();
        }
        planner.plan(demands.values(), prefetchCandidates(nowNanos), nowNanos);
        if (starving && !planner.canFreeSlot(queuedVersions())) {
            planner.drainOneVersion(queuedVersions(), nowNanos);
        } else if (demands.isEmpty()) {
            planner.cancelDraining();
        }
    }

    private List<AdapterVersion> prefetchCandidates(long nowNanos) {
        return slots.freeCount() == 0
                ? List.of()
                : popularity.popularVersions(settings.prefetchPopularity(), nowNanos);
    }

    /**
     * Orders the load of a version that is already loaded, so that the backend server confirms the
     * fencing number.
     */
    private void requestFencingConfirmation(long nowNanos) {
        if (!server.checksFencing()
                || fencingNumberConfirmed
                || fencingOrderVersion != null
                || !reportReceived) {
            return;
        }
        final List<AdapterVersion> loaded = slots.versions(slot -> slot.hasStatus(Status.LOADED));
        if (!loaded.isEmpty() && nowNanos - takeoverNanos < settings.orderLifetimeNanos()) {
            fencingOrderVersion = loaded.get(0);
            emit(new DispatcherAction.OrderLoad(fencingOrderVersion, fencingNumber));
        }
    }

    private void recordOrderResult(ResultCode code) {
        if (code == ResultCode.STALE_FENCING_NUMBER) {
            superseded = true;
        } else if (code == ResultCode.OK) {
            fencingNumberConfirmed = true;
        }
    }

    private boolean ordersAllowed(long nowNanos) {
        return reportReceived
                && (server.checksFencing()
                        || nowNanos - takeoverNanos >= settings.orderLifetimeNanos());
    }

    private boolean isServable(PermitRequest request, long nowNanos) {
        if (request.version().isEmpty()) {
            return true;
        }
        final AdapterVersion version = request.version().get();
        final boolean earlierOrdersExcluded =
                (server.checksFencing() && fencingNumberConfirmed)
                        || nowNanos - takeoverNanos >= settings.orderLifetimeNanos()
                        || planner.isResident(version);
        return earlierOrdersExcluded && slots.isServable(version);
    }

    private Optional<ResultCode> findRefusal(PermitRequest request, long nowNanos) {
        if (superseded) {
            return Optional.of(ResultCode.NOT_DISPATCHER);
        }
        if (isDraining() || (request.version().isPresent() && slots.capacity() == 0)) {
            return Optional.of(ResultCode.NO_BACKEND_SERVER);
        }
        if (nowNanos - request.deadlineNanos() >= 0) {
            return Optional.of(ResultCode.DEADLINE_PASSED);
        }
        final boolean failing =
                request.version().isPresent()
                        && !slots.isOccupied(request.version().get())
                        && planner.backoffNanos(request.version().get(), nowNanos) > 0;
        if (failing) {
            return Optional.of(ResultCode.ADAPTER_LOAD_FAILED);
        }
        return nowNanos + expectedWaitNanos(request, nowNanos) - request.deadlineNanos() > 0
                ? Optional.of(ResultCode.DEADLINE_UNREACHABLE)
                : Optional.empty();
    }

    private long retryAfterNanos(PermitRequest request, ResultCode code, long nowNanos) {
        return switch (code) {
            case ADAPTER_LOAD_FAILED ->
                    planner.backoffNanos(request.version().orElseThrow(), nowNanos);
            case DEADLINE_UNREACHABLE ->
                    Math.max(
                            MINIMUM_RETRY_NANOS,
                            nowNanos
                                    + expectedWaitNanos(request, nowNanos)
                                    - request.deadlineNanos());
            default -> MINIMUM_RETRY_NANOS;
        };
    }

    /**
     * Estimates the time until the request gets a permit: the load of its version or the requests
     * ahead of it in fair order, whichever takes longer.
     */
    private long expectedWaitNanos(PermitRequest request, long nowNanos) {
        final boolean loadNeeded =
                request.version().isPresent() && !slots.isServable(request.version().get());
        final long load = loadNeeded ? times.loadWaitNanos() : 0;
        if (freeRequestSlots(nowNanos) > queue.size()) {
            return load;
        }
        final int ownQueued = queue.size(request.organisation());
        final int competingOrganisations = queue.organisationCount() + (ownQueued == 0 ? 1 : 0);
        final long queuedAhead =
                Math.min(queue.size(), (long) (ownQueued + 1) * competingOrganisations - 1);
        final long perSlot = times.serviceNanos() / Math.max(1, server.concurrentRequests());
        return Math.max(load, (queuedAhead + 1) * perSlot);
    }

    private int freeRequestSlots(long nowNanos) {
        final boolean redeclareWindowOpen =
                nowNanos - takeoverNanos < settings.redeclareWindowNanos();
        final int usedSlots =
                redeclareWindowOpen
                        ? Math.max(permits.occupiedSlots(), reportedRunning)
                        : permits.occupiedSlots();
        return Math.max(0, server.concurrentRequests() - usedSlots);
    }

    /**
     * Keeps the version of a lost permit loaded and its request slot occupied, because its request
     * may still be running.
     */
    private void handleLostPermit(Permit permit, long nowNanos) {
        permit.version().ifPresent(version -> slots.markPossiblyBusy(version, nowNanos));
        permits.retainSlot(
                permit,
                nowNanos,
                Math.max(permit.deadlineNanos(), nowNanos) + settings.permitGraceNanos());
    }

    private Set<AdapterVersion> queuedVersions() {
        final Set<AdapterVersion> versions = new HashSet<>();
        queue.entries().forEach(entry -> entry.payload().version().ifPresent(versions::add));
        return versions;
    }

    private boolean isDraining() {
        return draining || drainingReported;
    }

    private BackendServer withIncarnation(long incarnation) {
        return new BackendServer(
                server.name(),
                server.service(),
                server.failureDomain(),
                server.host(),
                server.port(),
                incarnation,
                server.adapterSlots(),
                server.concurrentRequests(),
                server.checksFencing());
    }

    private DispatcherAction grantAction(Permit permit, long queuedNanos, boolean waited) {
        return new DispatcherAction.GrantPermit(
                permit.requestId(),
                permit.holder(),
                permit.version(),
                server.incarnation(),
                queuedNanos,
                waited);
    }

    private void refuse(QueueEntry<PermitRequest> entry, ResultCode code) {
        refuse(entry.payload(), code, MINIMUM_RETRY_NANOS);
    }

    private void refuse(PermitRequest request, ResultCode code, long retryAfterNanos) {
        requestsAwaitingLoad.remove(request.requestId());
        emit(
                new DispatcherAction.RefusePermit(
                        request.requestId(), request.holder(), code, retryAfterNanos));
    }

    private void emit(DispatcherAction action) {
        actions.add(action);
    }

    private static QueueEntry<PermitRequest> toQueueEntry(PermitRequest request) {
        return new QueueEntry<>(
                request.requestId(),
                request.organisation(),
                Math.max(1, request.weight()),
                Math.max(0, request.tokens()),
                request.urgency(),
                request.deadlineNanos(),
                request.arrivalNanos(),
                request);
    }

    private static LoadDemand toDemand(PermitRequest request) {
        return new LoadDemand(
                request.version().orElseThrow(),
                request.organisation(),
                Math.max(1, request.weight()),
                request.isInteractive() ? LoadPriority.INTERACTIVE : LoadPriority.BATCH,
                1,
                request.arrivalNanos());
    }

    private static LoadDemand mergeDemands(LoadDemand one, LoadDemand other) {
        final LoadDemand older = one.oldestNanos() <= other.oldestNanos() ? one : other;
        return new LoadDemand(
                one.version(),
                older.organisation(),
                older.weight(),
                one.priority().compareTo(other.priority()) <= 0 ? one.priority() : other.priority(),
                one.waiting() + other.waiting(),
                older.oldestNanos());
    }
}
