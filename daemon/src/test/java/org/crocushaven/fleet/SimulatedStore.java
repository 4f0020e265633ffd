package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.Map;
import org.crocushaven.fuzz.SimulatedTime;

/** Serves a number of loads at full speed; more of them share that speed evenly. */
final class SimulatedStore {
    static final double USUAL_LOAD_MILLIS = 250;

    private final SimulatedTime time;
    private final int fullSpeedLoads;
    private final double loadMillis;
    private final Map<Runnable, Double> leftMillis = new HashMap<>();
    private long advancedMillis;
    private long version;
    private int begun;

    SimulatedStore(SimulatedTime time, int fullSpeedLoads, double loadMillis) {
        this.time = time;
        this.fullSpeedLoads = fullSpeedLoads;
        this.loadMillis = loadMillis;
    }

    /** Begins a load. */
    void load(Runnable loaded) {
        begun++;
        advance();
        leftMillis.put(loaded, loadMillis);
        scheduleNext();
    }

    /** Returns the number of loads that have begun. */
    int begun() {
        return begun;
    }

    private double speed() {
        return Math.min(1, fullSpeedLoads / (double) Math.max(1, leftMillis.size()));
    }

    private void advance() {
        final double done = (time.millis() - advancedMillis) * speed();
        advancedMillis = time.millis();
        leftMillis.replaceAll((load, left) -> left - done);
    }

    private void scheduleNext() {
        final long current = ++version;
        final double least =
                leftMillis.values().stream().mapToDouble(Double::doubleValue).min().orElse(-1);
        if (!leftMillis.isEmpty()) {
            time.after((long) Math.ceil(Math.max(0, least) / speed()), () -> endDue(current));
        }
    }

    private void endDue(long scheduled) {
        if (scheduled != version) {
            return;
        }
        advance();
        final Map<Runnable, Double> due = new HashMap<>(leftMillis);
        due.values().removeIf(left -> left > 1e-6);
        leftMillis.keySet().removeAll(due.keySet());
        due.keySet().forEach(Runnable::run);
        scheduleNext();
    }
}
