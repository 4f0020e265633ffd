package org.crocushaven.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.result.ResultCode;

/**
 * Models one backend server and serves as oracle: fails the case when a version is unloaded while a
 * request runs on it. Executes every order except those refused for a stale fencing number.
 */
final class EngineModel {
    private final boolean checksFencing;
    private final int slots;
    private final FaultCounts<DispatchFault> counts;
    private final Set<AdapterVersion> loaded = new HashSet<>();
    private final Map<String, AdapterVersion> running = new HashMap<>();
    private long highestFencingNumber;
    private long incarnation = 1;
    private long sequence;

    EngineModel(boolean checksFencing, int slots, FaultCounts<DispatchFault> counts) {
        this.checksFencing = checksFencing;
        this.slots = slots;
        this.counts = counts;
    }

    ResultCode load(AdapterVersion version, long fencingNumber, boolean fails) {
        if (isFenced(fencingNumber)) {
            return ResultCode.STALE_FENCING_NUMBER;
        }
        if (loaded.contains(version)) {
            return ResultCode.OK;
        }
        if (fails || loaded.size() >= slots) {
            counts.count(DispatchFault.LOAD_FAILED);
            return ResultCode.ADAPTER_LOAD_FAILED;
        }
        loaded.add(version);
        return ResultCode.OK;
    }

    ResultCode unload(AdapterVersion version, long fencingNumber) {
        if (isFenced(fencingNumber)) {
            return ResultCode.STALE_FENCING_NUMBER;
        }
        if (running.containsValue(version)) {
            throw new AssertionError("unloaded under a running request: " + version);
        }
        counts.count(DispatchFault.EVICTION);
        loaded.remove(version);
        return ResultCode.OK;
    }

    /** Starts a request and returns true, or returns false if its version is not loaded. */
    boolean start(String requestId, AdapterVersion version) {
        if (!loaded.contains(version)) {
            return false;
        }
        running.put(requestId, version);
        counts.count(DispatchFault.REQUEST_RAN);
        return true;
    }

    boolean finish(String requestId) {
        return running.remove(requestId) != null;
    }

    void restart() {
        counts.count(DispatchFault.ENGINE_RESTARTED);
        if (!running.isEmpty()) {
            counts.count(DispatchFault.ENGINE_RESTARTED_WITH_RUNNING_REQUEST);
        }
        incarnation++;
        sequence = 0;
        highestFencingNumber = 0;
        loaded.clear();
        running.clear();
    }

    LoadReport report() {
        sequence++;
        return new LoadReport(
                incarnation,
                sequence,
                running.size(),
                0,
                List.copyOf(loaded),
                new ArrayList<>(new HashSet<>(running.values())),
                false);
    }

    long incarnation() {
        return incarnation;
    }

    int runningCount() {
        return running.size();
    }

    private boolean isFenced(long fencingNumber) {
        if (checksFencing && fencingNumber < highestFencingNumber) {
            counts.count(DispatchFault.OLD_ORDER_FENCED);
            return true;
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        return false;
    }
}
