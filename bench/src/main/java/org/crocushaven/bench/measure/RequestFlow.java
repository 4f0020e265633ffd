package org.crocushaven.bench.measure;

import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.admission.Charge;
import org.crocushaven.admission.LoadPriority;
import org.crocushaven.admission.LoadRequest;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.placement.DispatcherAction;
import org.crocushaven.placement.PermitOutcome;
import org.crocushaven.placement.PermitRequest;
import org.crocushaven.result.ResultCode;
import org.crocushaven.routing.RouteQuery;
import org.crocushaven.routing.RoutingDecision;

/** Carries requests through charge, routing, permit and answer. */
final class RequestFlow {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final long TOKEN_PATIENCE_NANOS = 500 * MILLISECOND;
    private static final long ASK_AGAIN_NANOS = 40 * MILLISECOND;
    private static final long ENGINE_LINK_NANOS = 500_000;
    private static final long INTERACTIVE_DEADLINE_NANOS = 30 * SECOND;
    private static final long BATCH_DEADLINE_NANOS = 120 * SECOND;
    private static final int INTERACTIVE_URGENCY = 3;
    private static final int BATCH_URGENCY = 6;
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final String SERVICE = "model";

    private final Fleet fleet;
    private final VirtualClock clock;
    private final List<Organisation> organisations;
    private final FlowOutcomes outcomes;
    private final double loadFailurePart;
    private long identifiers;

    RequestFlow(Fleet fleet, FlowOutcomes outcomes, double loadFailurePart) {
        this.fleet = fleet;
        this.clock = fleet.clock();
        this.organisations = fleet.deployment().organisations();
        this.outcomes = outcomes;
        this.loadFailurePart = loadFailurePart;
    }

    void arrive(Arrival arrival) {
        final FleetInstance instance = fleet.liveInstance(arrival.instance());
        final RequestRun run =
                new RequestRun(
                        "r" + identifiers++, arrival, instance, outcomes.tryTakeIdeal(arrival));
        outcomes.arrived(run);
        if (!tryCharge(run)) {
            instance.waitingForTokens().add(run);
            askForTokens(instance);
        }
    }

    /** Tries waiting requests again, in order, and refuses those that waited too long. */
    void sharesChanged(FleetInstance instance) {
        final Iterator<RequestRun> waiting = instance.waitingForTokens().iterator();
        while (waiting.hasNext()) {
            final RequestRun run = waiting.next();
            if (tryCharge(run)) {
                waiting.remove();
            } else if (clock.nowNanos() - run.arrival().atNanos() >= TOKEN_PATIENCE_NANOS) {
                waiting.remove();
                outcomes.refused(run, ResultCode.RATE_EXCEEDED);
            }
        }
        if (instance.waitingForTokens().isEmpty()) {
            askForTokens(instance);
        } else {
            clock.after(ASK_AGAIN_NANOS, () -> askForTokens(instance));
        }
    }

    /** Carries out what the dispatcher decided. */
    void perform(DispatcherSlot slot) {
        if (slot.dispatcher() == null) {
            return;
        }
        for (final DispatcherAction action : slot.dispatcher().takeActions()) {
            if (action instanceof DispatcherAction.GrantPermit grant) {
                permitGranted(slot, grant);
            } else if (action instanceof DispatcherAction.RefusePermit refusal) {
                permitRefused(slot, refusal);
            } else if (action instanceof DispatcherAction.RequestLoadGrant ask) {
                fleet.askLoad(slot, load(slot, ask), this);
            } else if (action instanceof DispatcherAction.WithdrawLoadRequest withdrawn) {
                fleet.withdrawLoad(slot, key(slot, withdrawn.version()));
            } else if (action instanceof DispatcherAction.ReleaseLoadGrant released) {
                fleet.releaseLoad(slot, key(slot, released.version()), this);
            } else if (action instanceof DispatcherAction.OrderLoad order) {
                order(slot, order);
            } else if (action instanceof DispatcherAction.OrderUnload order) {
                order(slot, order);
            }
        }
    }

    /** Fails over the requests that wait at a lost dispatcher. */
    void dispatcherLost(DispatcherSlot slot) {
        final List<RequestRun> waiting = List.copyOf(slot.asked().values());
        slot.asked().clear();
        waiting.forEach(run -> tryNext(run, ResultCode.PEER_UNREACHABLE));
    }

    /** Tells a new dispatcher which permits are held. */
    void redeclare(DispatcherSlot slot) {
        slot.permitted()
                .forEach(
                        (identifier, run) -> {
                            if (run.instance().isAlive()) {
                                slot.dispatcher()
                                        .redeclarePermit(
                                                run.instance().name(),
                                                identifier,
                                                Optional.of(run.arrival().version()),
                                                deadline(run.arrival()),
                                                clock.nowNanos());
                            }
                        });
        perform(slot);
    }

    private boolean tryCharge(RequestRun run) {
        final Arrival arrival = run.arrival();
        final Charge charge =
                run.instance()
                        .shares()
                        .tryCharge(
                                organisations.get(arrival.organisation()).name(),
                                arrival.charge(),
                                clock.nowNanos());
        if (charge.granted()) {
            run.charged(charge, clock.nowNanos());
            run.instance().retries().recordRequest(charge.organisation(), clock.nowNanos());
            route(run);
        }
        return charge.granted();
    }

    private void askForTokens(FleetInstance instance) {
        if (instance.shares().reportIsUrgent()) {
            fleet.reportShares(instance, () -> sharesChanged(instance));
        }
    }

    private void route(RequestRun run) {
        run.nextAttempt();
        final Arrival arrival = run.arrival();
        final RoutingDecision decision =
                run.instance()
                        .routing()
                        .choose(
                                new RouteQuery(
                                        run.identifier(),
                                        SERVICE,
                                        Optional.of(arrival.version()),
                                        run.instance().failureDomain(),
                                        Optional.empty(),
                                        Set.copyOf(run.tried()),
                                        clock.nowNanos()));
        if (decision.candidates().isEmpty()) {
            outcomes.refused(run, ResultCode.NO_BACKEND_SERVER);
            return;
        }
        final RoutingDecision.Candidate candidate = decision.candidates().get(0);
        run.tried().add(candidate.backendServer());
        run.instance().table().recordSent(candidate.backendServer());
        ask(run, fleet.slot(candidate.backendServer()), candidate.dispatcher());
    }

    private void ask(RequestRun run, DispatcherSlot slot, String dispatcher) {
        final FleetInstance target = fleet.instance(dispatcher);
        final long link = fleet.link(run.instance(), target);
        clock.after(
                link,
                () -> {
                    if (slot.dispatcher() == null || slot.host() != target) {
                        clock.after(link, () -> tryNext(run, ResultCode.NOT_DISPATCHER));
                        return;
                    }
                    slot.asked().put(run.identifier(), run);
                    slot.dispatcher().requestPermit(permitRequest(run), clock.nowNanos());
                    perform(slot);
                });
    }

    private PermitRequest permitRequest(RequestRun run) {
        final Arrival arrival = run.arrival();
        final Organisation organisation = organisations.get(arrival.organisation());
        return new PermitRequest(
                run.identifier(),
                run.instance().name(),
                organisation.name(),
                organisation.weight(),
                Optional.of(arrival.version()),
                arrival.charge(),
                arrival.interactive() ? INTERACTIVE_URGENCY : BATCH_URGENCY,
                deadline(arrival),
                clock.nowNanos());
    }

    private void permitGranted(DispatcherSlot slot, DispatcherAction.GrantPermit grant) {
        final RequestRun run = slot.asked().remove(grant.requestId());
        if (run == null) {
            return;
        }
        slot.permitted().put(grant.requestId(), run);
        if (grant.waitedForLoad()) {
            run.stalled(grant.queuedNanos());
        }
        final long delay = fleet.link(slot.host(), run.instance()) + ENGINE_LINK_NANOS;
        clock.after(
                delay,
                () ->
                        slot.engine()
                                .serve(
                                        run.arrival(),
                                        at -> firstToken(run, at),
                                        outcome -> ended(slot, run, outcome)));
    }

    private void permitRefused(DispatcherSlot slot, DispatcherAction.RefusePermit refusal) {
        final RequestRun run = slot.asked().remove(refusal.requestId());
        if (run == null) {
            return;
        }
        final boolean missedLoad =
                refusal.code() == ResultCode.DEADLINE_PASSED
                        && !slot.dispatcher().summary().loaded().contains(run.arrival().version());
        if (missedLoad) {
            outcomes.missedLoad(run);
        }
        clock.after(fleet.link(slot.host(), run.instance()), () -> tryNext(run, refusal.code()));
    }

    private void firstToken(RequestRun run, long atNanos) {
        if (run.instance().isAlive()) {
            outcomes.firstToken(run, atNanos);
        }
    }

    private void ended(DispatcherSlot slot, RequestRun run, PermitOutcome outcome) {
        slot.permitted().remove(run.identifier());
        if (!run.instance().isAlive()) {
            outcomes.cut();
            outcomes.used(run);
            return;
        }
        if (slot.dispatcher() != null) {
            slot.dispatcher().returnPermit(run.identifier(), outcome, clock.nowNanos());
            perform(slot);
        }
        if (outcome != PermitOutcome.COMPLETED) {
            tryNext(run, ResultCode.BACKEND_SERVER_FAILED);
            return;
        }
        settle(run, run.arrival().used());
        outcomes.used(run);
        outcomes.served(run);
    }

    private void tryNext(RequestRun run, ResultCode code) {
        if (!run.instance().isAlive()) {
            outcomes.cut();
            return;
        }
        final boolean again =
                run.nextAttempt() <= MAXIMUM_ATTEMPTS
                        && run.instance()
                                .retries()
                                .tryRetry(run.charge().organisation(), clock.nowNanos());
        if (again) {
            route(run);
            return;
        }
        settle(run, 0);
        outcomes.refused(run, code);
    }

    private void settle(RequestRun run, long used) {
        run.instance().shares().settle(run.charge(), used, clock.nowNanos());
        outcomes.settled(run, used);
    }

    private void order(DispatcherSlot slot, DispatcherAction.OrderLoad order) {
        final Object ordering = slot.dispatcher();
        final boolean fails = fleet.random().nextDouble() < loadFailurePart;
        clock.after(
                ENGINE_LINK_NANOS,
                () ->
                        slot.engine()
                                .load(
                                        order.version(),
                                        order.fencingNumber(),
                                        fails,
                                        code -> {
                                            if (slot.dispatcher() == ordering) {
                                                slot.dispatcher()
                                                        .loadFinished(
                                                                order.version(),
                                                                code,
                                                                clock.nowNanos());
                                                perform(slot);
                                            }
                                        }));
    }

    private void order(DispatcherSlot slot, DispatcherAction.OrderUnload order) {
        final Object ordering = slot.dispatcher();
        clock.after(
                ENGINE_LINK_NANOS,
                () ->
                        slot.engine()
                                .unload(
                                        order.version(),
                                        order.fencingNumber(),
                                        code -> {
                                            if (slot.dispatcher() == ordering) {
                                                slot.dispatcher()
                                                        .unloadFinished(
                                                                order.version(),
                                                                code,
                                                                clock.nowNanos());
                                                perform(slot);
                                            }
                                        }));
    }

    private static long deadline(Arrival arrival) {
        return arrival.atNanos()
                + (arrival.interactive() ? INTERACTIVE_DEADLINE_NANOS : BATCH_DEADLINE_NANOS);
    }

    private static LoadRequest load(DispatcherSlot slot, DispatcherAction.RequestLoadGrant ask) {
        return new LoadRequest(
                slot.engine().name(),
                ask.version(),
                ask.organisation(),
                ask.weight(),
                ask.priority(),
                ask.waiting());
    }

    private static LoadRequest key(DispatcherSlot slot, AdapterVersion version) {
        return new LoadRequest(slot.engine().name(), version, "", 1, LoadPriority.BATCH, 0);
    }
}
