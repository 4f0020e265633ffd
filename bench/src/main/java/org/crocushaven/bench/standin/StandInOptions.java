package org.crocushaven.bench.standin;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Holds the options that the engine and plain-service commands share. */
final class StandInOptions {
    static final String LOOPBACK = "127.0.0.1";

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> service;
    private final OptionSpec<String> name;
    private final OptionSpec<Integer> count;
    private final OptionSpec<String> failureDomains;
    private final OptionSpec<String> announcementAddresses;
    private final OptionSpec<Integer> port;
    private final OptionSpec<Integer> concurrentRequests;

    StandInOptions(String defaultService, int defaultConcurrentRequests) {
        service = text("service", "service that is announced", defaultService);
        name = text("name", "name of the backend server, or its prefix", defaultService);
        count = number("count", "backend servers in this process", 1);
        failureDomains =
                text(
                        "failure-domains",
                        "failure domains, separated by commas, assigned in turn",
                        "a");
        announcementAddresses =
                text(
                        "announce",
                        "host:port addresses that receive announcements, separated by commas",
                        "");
        port = number("port", "TCP port of the first backend server; 0 picks free ports", 0);
        concurrentRequests =
                number(
                        "concurrent",
                        "maximum number of concurrent requests",
                        defaultConcurrentRequests);
    }

    OptionParser parser() {
        return parser;
    }

    OptionSpec<String> text(String option, String description, String defaultValue) {
        return parser.accepts(option, description).withRequiredArg().defaultsTo(defaultValue);
    }

    OptionSpec<Integer> number(String option, String description, int defaultValue) {
        return parser.accepts(option, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaultValue);
    }

    int count(OptionSet options) {
        return options.valueOf(count);
    }

    String service(OptionSet options) {
        return options.valueOf(service);
    }

    String name(OptionSet options, int index) {
        return count(options) == 1 ? options.valueOf(name) : options.valueOf(name) + "-" + index;
    }

    String failureDomain(OptionSet options, int index) {
        final List<String> domains = split(options.valueOf(failureDomains));
        return domains.get(index % domains.size());
    }

    List<String> announcementAddresses(OptionSet options) {
        return split(options.valueOf(announcementAddresses));
    }

    int port(OptionSet options, int index) {
        final int first = options.valueOf(port);
        return first == 0 ? 0 : first + index;
    }

    int concurrentRequests(OptionSet options) {
        return options.valueOf(concurrentRequests);
    }

    /** Prints the line by which the parent process learns that this stand-in is ready. */
    static void printReady(String name, int port) {
        System.out.printf("ready %s %d%n", name, port);
        System.out.flush();
    }

    /** Blocks until the process is asked to stop; the given task runs during shutdown. */
    static void runUntilStopped(Runnable atStop) throws InterruptedException {
        Runtime.getRuntime().addShutdownHook(new Thread(atStop, "stop"));
        new CountDownLatch(1).await();
    }

    private static List<String> split(String text) {
        return text.isEmpty() ? List.of() : List.of(text.split(","));
    }
}
