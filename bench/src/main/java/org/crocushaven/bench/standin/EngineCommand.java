package org.crocushaven.bench.standin;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.crocushaven.bench.Command;

/** Runs stand-in engines until the process is asked to stop. */
public final class EngineCommand implements Command {
    private static final int DEFAULT_SLOTS = 8;
    private static final int DEFAULT_CONCURRENT_REQUESTS = 16;
    private static final int DEFAULT_LOAD_DELAY_MILLIS = 250;
    private static final long STOP_GRACE_MILLIS = 5_000;

    @Override
    public String name() {
        return "engine";
    }

    @Override
    public String summary() {
        return "runs stand-in engines";
    }

    @Override
    public int run(String[] arguments) throws Exception {
        final StandInOptions shared = new StandInOptions("engine", DEFAULT_CONCURRENT_REQUESTS);
        final SpeedOptions speed = new SpeedOptions(shared);
        final OptionSpec<Integer> slots =
                shared.number("slots", "adapter versions held at once", DEFAULT_SLOTS);
        final OptionSpec<String> store =
                shared.text("store", "host:port of the weight store; empty for none", "");
        final OptionSpec<Integer> loadDelay =
                shared.number(
                        "load-delay-millis",
                        "duration of an adapter load without a weight store",
                        DEFAULT_LOAD_DELAY_MILLIS);
        final OptionSpec<Boolean> fencing =
                shared.parser()
                        .accepts("checks-fencing", "whether old fencing numbers are refused")
                        .withRequiredArg()
                        .ofType(Boolean.class)
                        .defaultsTo(true);
        final OptionSet options = shared.parser().parse(arguments);
        final List<Engine> engines = new ArrayList<>();
        for (int index = 0; index < shared.count(options); index++) {
            final Engine engine =
                    Engine.start(
                            new EngineSettings(
                                    shared.name(options, index),
                                    shared.service(options),
                                    shared.failureDomain(options, index),
                                    StandInOptions.LOOPBACK,
                                    shared.port(options, index),
                                    shared.announcementAddresses(options),
                                    options.valueOf(slots),
                                    shared.concurrentRequests(options),
                                    options.valueOf(fencing),
                                    address(options.valueOf(store)),
                                    options.valueOf(loadDelay),
                                    speed.speed(options)));
            engines.add(engine);
            StandInOptions.printReady(engine.name(), engine.port());
        }
        StandInOptions.runUntilStopped(() -> stop(engines));
        return 0;
    }

    private static void stop(List<Engine> engines) {
        engines.parallelStream().forEach(engine -> engine.drainAndLeave(STOP_GRACE_MILLIS));
    }

    private static Optional<URI> address(String store) {
        return store.isEmpty() ? Optional.empty() : Optional.of(URI.create("http://" + store));
    }

    /** Holds the options for the duration of a batch step. */
    private static final class SpeedOptions {
        private final OptionSpec<Integer> step;
        private final OptionSpec<Integer> sequence;
        private final OptionSpec<Integer> prefillToken;

        SpeedOptions(StandInOptions shared) {
            final EngineSettings.StepSpeed defaultSpeed = EngineSettings.StepSpeed.standard();
            step = micros(shared, "step-micros", defaultSpeed.stepMicros());
            sequence = micros(shared, "sequence-micros", defaultSpeed.sequenceMicros());
            prefillToken =
                    micros(shared, "prefill-token-micros", defaultSpeed.prefillTokenMicros());
        }

        EngineSettings.StepSpeed speed(OptionSet options) {
            return new EngineSettings.StepSpeed(
                    options.valueOf(step),
                    options.valueOf(sequence),
                    options.valueOf(prefillToken));
        }

        private static OptionSpec<Integer> micros(
                StandInOptions shared, String option, long defaultMicros) {
            return shared.number(
                    option, "part of a step's duration, in microseconds", (int) defaultMicros);
        }
    }
}
