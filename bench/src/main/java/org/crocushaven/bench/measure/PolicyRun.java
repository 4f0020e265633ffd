package org.crocushaven.bench.measure;

import java.util.List;

/** One workload under one policy. */
final class PolicyRun {
    static final double SECONDS = 360;
    static final double WARM_UP_SECONDS = 90;

    private static final double SECOND_NANOS = 1e9;
    private static final double FAILED_LOAD_PART = 0.2;
    private static final int RESTARTED_ENGINES = 3;
    private static final int LOST_INSTANCE = 3;
    private static final int LEADER_INSTANCE = 0;

    private PolicyRun() {}

    static RunResult run(
            Deployment deployment,
            Workload workload,
            PolicyChoice choice,
            List<Arrival> arrivals,
            long seed) {
        final Fleet fleet = new Fleet(deployment, choice, seed);
        final long warmUpNanos = (long) (WARM_UP_SECONDS * SECOND_NANOS);
        final double failing = workload == Workload.FAILED_LOADS ? FAILED_LOAD_PART : 0;
        final int overRate = workload == Workload.AGGRESSOR ? Workload.AGGRESSOR_ORGANISATION : -1;
        final FlowOutcomes outcomes =
                new FlowOutcomes(fleet.clock(), deployment.organisations(), warmUpNanos, overRate);
        final RequestFlow flow = new RequestFlow(fleet, outcomes, failing);
        fleet.start(flow);
        for (final Arrival arrival : arrivals) {
            fleet.clock().after(arrival.atNanos(), () -> flow.arrive(arrival));
        }
        scheduleFaults(fleet, flow, outcomes, workload);
        fleet.clock().runUntil((long) ((SECONDS + 60) * SECOND_NANOS));
        final long starts = fleet.slots().stream().mapToLong(slot -> slot.engine().starts()).sum();
        final long shared =
                fleet.slots().stream().mapToLong(slot -> slot.engine().sharedStarts()).sum();
        outcomes.result()
                .fleet(
                        fleet.store().loads(),
                        fleet.store().mostInFlight(),
                        (double) shared / Math.max(1, starts),
                        outcomes.bounds().stream().mapToLong(UsageBound::violations).sum());
        return outcomes.result();
    }

    private static void scheduleFaults(
            Fleet fleet, RequestFlow flow, FlowOutcomes outcomes, Workload workload) {
        final long middle = (long) (SECONDS / 2 * SECOND_NANOS);
        switch (workload) {
            case COLD_RESTART ->
                    fleet.clock()
                            .after(
                                    middle,
                                    () ->
                                            fleet.slots().stream()
                                                    .limit(RESTARTED_ENGINES)
                                                    .forEach(slot -> slot.engine().restart()));
            case INSTANCE_LOST, LEADER_LOST -> {
                final int number =
                        workload == Workload.LEADER_LOST ? LEADER_INSTANCE : LOST_INSTANCE;
                outcomes.lossAt(middle);
                fleet.clock().after(middle, () -> fleet.lose(fleet.instance("i" + number), flow));
            }
            default -> {
                // nothing fails
            }
        }
    }
}
