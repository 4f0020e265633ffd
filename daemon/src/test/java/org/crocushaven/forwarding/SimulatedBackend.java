package org.crocushaven.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.crocushaven.fleet.BackendAnnouncement;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendState;

/** A backend server that ends and starts anew at its address. */
final class SimulatedBackend {
    private static final int PORT = 80;

    private final int number;
    private final String failureDomain;
    private final List<SimulatedRequest> running = new ArrayList<>();
    private int starts = 1;
    private boolean up = true;

    SimulatedBackend(int number, String failureDomain) {
        this.number = number;
        this.failureDomain = failureDomain;
    }

    String failureDomain() {
        return failureDomain;
    }

    List<SimulatedRequest> running() {
        return running;
    }

    boolean isUp() {
        return up;
    }

    /** Ends; returns the requests that it had. */
    List<SimulatedRequest> end() {
        up = false;
        final List<SimulatedRequest> cut = List.copyOf(running);
        running.clear();
        return cut;
    }

    void startAnew() {
        up = true;
        starts++;
    }

    /** Returns whether a start of this backend server has ended. */
    boolean hasEnded(long startedMillis) {
        return !up || startedMillis < starts;
    }

    String address() {
        return host() + ':' + PORT;
    }

    private String host() {
        return "10.0.0." + number;
    }

    /** Every other backend server comes back under another identifier. */
    private String identifier() {
        return number % 2 == 0 ? "b" + number : "b" + number + '-' + starts;
    }

    BackendRecord record() {
        return BackendRecordBuilder.of(identifier(), "engines")
                .at(host(), PORT)
                .inDomain(failureDomain)
                .withSlots(16)
                .running("v1")
                .startedAt(starts)
                .build();
    }

    BackendAnnouncement announcement() {
        return new BackendAnnouncement(
                identifier(),
                "engines",
                host(),
                PORT,
                failureDomain,
                BackendState.READY,
                16,
                starts,
                1,
                false,
                List.of(),
                "v1",
                0);
    }
}
