package org.crocushaven.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.placement.AdapterSlot.Status;
import org.crocushaven.placement.PermitQueue.ServedRequest;
import org.crocushaven.placement.PermitRefusals.Refusal;
import org.crocushaven.result.ResultCode;

/**
 * Queues requests, grants permits and decides on loads and evictions for one backend server.
 *
 * <p>A permit pins its version until it is returned, or until its holder is lost and a report shows
 * that nothing runs on the version. After a takeover every reported version counts as pinned until
 * the re-declaration window has passed and a later report shows it idle.
 *
 * <p>No permit for a version is granted until {@link TakeoverGuard} excludes that an order of an
 * earlier dispatcher unloads it. Resident versions are exempt because no dispatcher unloads them.
 *
 * <p>Method calls are the inputs; {@link #takeActions} returns the resulting actions. Not
 * thread-safe.
 */
public final class BackendDispatcher {
    private static final long POPULARITY_HALF_LIFE_NANOS = 60_000_000_000L;
    private static final int POPULARITY_VERSIONS = 4096;

    private final long fencingNumber;
    private final DispatcherSettings settings;
    private final EvictionPolicy eviction;
    private final TakeoverGuard takeover;
    private final AdapterSlots slots;
    private final PermitTable permits = new PermitTable();
    private final ServiceTimes times;
    private final LoadPlanner planner;
    private final PopularityTracker popularity;
    private final PermitQueue queue;
    private final PermitRefusals refusals;
    private final SummaryTracker summaries;
    private List<DispatcherAction> actions = new ArrayList<>();
    private BackendServer server;
    private long reportSequence = -1;
    private int reportedRunning;
    private boolean reportReceived;
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
        this.takeover = TakeoverGuard.create(settings, nowNanos);
        this.slots = new AdapterSlots(server.adapterSlots(), settings, nowNanos);
        this.times = new ServiceTimes(settings);
        this.popularity =
                PopularityTracker.create(POPULARITY_HALF_LIFE_NANOS, POPULARITY_VERSIONS, nowNanos);
        this.queue = PermitQueue.create(settings);
        this.summaries = new SummaryTracker(fencingNumber);
        this.planner =
                new LoadPlanner(
                        settings, slots, permits, eviction, times, fencingNumber, this::emit);
        this.refusals = new PermitRefusals(slots, planner, queue, times);
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
        final Optional<Refusal> refusal = findRefusal(request, nowNanos);
        if (refusal.isPresent()) {
            refuse(request, refusal.get());
            return;
        }
        request.version()
                .ifPresent(
                        version -> {
                            eviction.recordUse(version, nowNanos);
                            popularity.recordUse(version, nowNanos);
                        });
        final boolean awaitsLoad =
                request.version().filter(version -> !slots.isServable(version)).isPresent();
        queue.offer(request, awaitsLoad)
                .forEach(
                        dropped ->
                                refuse(
                                        dropped,
                                        new Refusal(ResultCode.QUEUE_FULL, times.serviceNanos())));
        dispatch(nowNanos);
    }

    /** Cancels a queued or granted request that was not sent and will not be sent. */
    public void cancelPermitRequest(String requestId, long nowNanos) {
        if (queue.remove(requestId)) {
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
        if (notServable || takeover.isSuperseded()) {
            refuse(requestId, holder, Refusal.of(ResultCode.PERMIT_STALE));
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
        takeover.handleServerRestart();
        slots.handleServerRestart();
        dispatch(nowNanos);
    }

    /** Handles a load granted by the load budget. */
    public void handleLoadGrant(AdapterVersion version, long nowNanos) {
        planner.handleGrant(version, queue.versions(), ordersAllowed(nowNanos), nowNanos);
        dispatch(nowNanos);
    }

    /** Handles a load refused by the load budget; it may be requested again. */
    public void handleLoadRefusal(AdapterVersion version) {
        planner.handleRefusal(version);
    }

    /** Handles the end of a load order with {@link ResultCode#OK} or the reason for its failure. */
    public void loadFinished(AdapterVersion version, ResultCode code, long nowNanos) {
        takeover.recordOrderResult(code);
        if (takeover.endConfirmation(version)) {
            dispatch(nowNanos);
            return;
        }
        if (planner.loadFinished(version, code, nowNanos)) {
            final Refusal refusal =
                    new Refusal(
                            ResultCode.ADAPTER_LOAD_FAILED,
                            planner.backoffNanos(version, nowNanos));
            queue.removeIf(request -> request.version().equals(Optional.of(version)))
                    .forEach(request -> refuse(request, refusal));
        }
        dispatch(nowNanos);
    }

    /**
     * Handles the end of an unload order with {@link ResultCode#OK} or the reason for its failure.
     */
    public void unloadFinished(AdapterVersion version, ResultCode code, long nowNanos) {
        takeover.recordOrderResult(code);
        planner.unloadFinished(version, code, queue.versions(), nowNanos);
        dispatch(nowNanos);
    }

    /**
     * Handles the loss of an instance whose session lease has expired, so that it sends no more.
     */
    public void handleHolderExpired(String instance, long nowNanos) {
        queue.removeIf(request -> request.holder().equals(instance));
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
                unusedRequestSlots(permits.occupiedSlots()),
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
        queue.expire(nowNanos)
                .forEach(request -> refuse(request, Refusal.of(ResultCode.DEADLINE_PASSED)));
        permits.expireLost(nowNanos);
        final Optional<Refusal> closed = refusalOfAllWork();
        if (closed.isPresent()) {
            queue.removeIf(request -> true).forEach(request -> refuse(request, closed.get()));
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
            final Optional<ServedRequest> next =
                    queue.takeNext(
                            request -> isServable(request, nowNanos), permits::isPinned, nowNanos);
            if (next.isEmpty()) {
                return;
            }
            final PermitRequest request = next.get().request();
            final Permit permit =
                    new Permit(
                            request.requestId(),
                            request.holder(),
                            request.version(),
                            nowNanos,
                            request.deadlineNanos());
            permits.add(permit);
            emit(grantAction(permit, nowNanos - request.arrivalNanos(), next.get().awaitedLoad()));
        }
    }

    private void planLoads(long nowNanos) {
        final Predicate<AdapterVersion> needsLoad = version -> !slots.isOccupied(version);
        final Collection<LoadDemand> demands = queue.demands(needsLoad);
        final boolean starving =
                queue.hasWaitedFor(needsLoad, settings.starvationNanos(), nowNanos);
        planner.plan(demands, prefetchCandidates(nowNanos), nowNanos);
        if (starving && !planner.canFreeSlot(queue.versions())) {
            planner.drainOneVersion(queue.versions(), nowNanos);
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
        if (!reportReceived || !takeover.needsConfirmation(server, nowNanos)) {
            return;
        }
        final List<AdapterVersion> loaded = slots.versions(slot -> slot.hasStatus(Status.LOADED));
        if (!loaded.isEmpty()) {
            takeover.startConfirmation(loaded.get(0));
            emit(new DispatcherAction.OrderLoad(loaded.get(0), fencingNumber));
        }
    }

    private boolean ordersAllowed(long nowNanos) {
        return reportReceived && takeover.allowsOrders(server, nowNanos);
    }

    private boolean isServable(PermitRequest request, long nowNanos) {
        if (request.version().isEmpty()) {
            return true;
        }
        final AdapterVersion version = request.version().get();
        return (takeover.excludesEarlierOrders(server, nowNanos) || planner.isResident(version))
                && slots.isServable(version);
    }

    private Optional<Refusal> findRefusal(PermitRequest request, long nowNanos) {
        final Optional<Refusal> closed = refusalOfAllWork();
        return closed.isPresent()
                ? closed
                : refusals.find(
                        request, freeRequestSlots(nowNanos), server.concurrentRequests(), nowNanos);
    }

    /** Returns the refusal of every request while this dispatcher grants no permits. */
    private Optional<Refusal> refusalOfAllWork() {
        if (takeover.isSuperseded()) {
            return Optional.of(Refusal.of(ResultCode.NOT_DISPATCHER));
        }
        return isDraining()
                ? Optional.of(Refusal.of(ResultCode.NO_BACKEND_SERVER))
                : Optional.empty();
    }

    private int freeRequestSlots(long nowNanos) {
        final int occupied = permits.occupiedSlots();
        return unusedRequestSlots(
                takeover.isRedeclareWindowOpen(nowNanos)
                        ? Math.max(occupied, reportedRunning)
                        : occupied);
    }

    private int unusedRequestSlots(int usedSlots) {
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

    private void refuse(PermitRequest request, Refusal refusal) {
        refuse(request.requestId(), request.holder(), refusal);
    }

    private void refuse(String requestId, String holder, Refusal refusal) {
        emit(
                new DispatcherAction.RefusePermit(
                        requestId, holder, refusal.code(), refusal.retryAfterNanos()));
    }

    private void emit(DispatcherAction action) {
        actions.add(action);
    }
}
