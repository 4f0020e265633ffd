package org.crocushaven.bench.standin;

import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionSet;
import org.crocushaven.bench.Command;

/** Runs stand-ins of a plain service until the process is asked to stop. */
public final class PlainServiceCommand implements Command {
    private static final int DEFAULT_CONCURRENT_REQUESTS = 64;

    @Override
    public String name() {
        return "plain-service";
    }

    @Override
    public String summary() {
        return "runs stand-ins of a plain service";
    }

    @Override
    public int run(String[] arguments) throws Exception {
        final StandInOptions shared = new StandInOptions("plain", DEFAULT_CONCURRENT_REQUESTS);
        final OptionSet options = shared.parser().parse(arguments);
        final List<PlainService> services = new ArrayList<>();
        for (int index = 0; index < shared.count(options); index++) {
            final PlainService service =
                    PlainService.start(
                            new PlainServiceSettings(
                                    shared.name(options, index),
                                    shared.service(options),
                                    shared.failureDomain(options, index),
                                    StandInOptions.LOOPBACK,
                                    shared.port(options, index),
                                    shared.announcementAddresses(options),
                                    shared.concurrentRequests(options)));
            services.add(service);
            StandInOptions.printReady(service.name(), service.port());
        }
        StandInOptions.runUntilStopped(
                () -> services.parallelStream().forEach(PlainService::drainAndLeave));
        return 0;
    }
}
