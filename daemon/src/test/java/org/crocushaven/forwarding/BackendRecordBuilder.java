package org.crocushaven.forwarding;

import java.util.List;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendState;
import org.crocushaven.fleet.HeldAdapter;

/** Builds records of backend servers that are ready unless a test says otherwise. */
final class BackendRecordBuilder {
    private final String backend;
    private final String service;
    private String host = "10.0.0.1";
    private int port = 80;
    private String failureDomain = "a";
    private BackendState state = BackendState.READY;
    private int requestSlots = 4;
    private List<HeldAdapter> held = List.of();
    private String softwareVersion = "";
    private long startedMillis = 1;

    private BackendRecordBuilder(String backend, String service) {
        this.backend = backend;
        this.service = service;
    }

    /** Begins the record of a backend server of a service. */
    static BackendRecordBuilder of(String backend, String service) {
        return new BackendRecordBuilder(backend, service);
    }

    BackendRecordBuilder at(String address, int listeningPort) {
        host = address;
        port = listeningPort;
        return this;
    }

    /** Sets a port of this machine. */
    BackendRecordBuilder atPort(int listeningPort) {
        return at("127.0.0.1", listeningPort);
    }

    BackendRecordBuilder inDomain(String domain) {
        failureDomain = domain;
        return this;
    }

    BackendRecordBuilder inState(BackendState next) {
        state = next;
        return this;
    }

    BackendRecordBuilder withSlots(int slots) {
        requestSlots = slots;
        return this;
    }

    BackendRecordBuilder holding(HeldAdapter... adapters) {
        held = List.of(adapters);
        return this;
    }

    BackendRecordBuilder running(String version) {
        softwareVersion = version;
        return this;
    }

    BackendRecordBuilder startedAt(long millis) {
        startedMillis = millis;
        return this;
    }

    BackendRecord build() {
        return new BackendRecord(
                backend,
                service,
                host,
                port,
                failureDomain,
                state,
                false,
                requestSlots,
                held,
                softwareVersion,
                startedMillis);
    }
}
