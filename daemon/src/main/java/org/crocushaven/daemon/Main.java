package org.crocushaven.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.settings.DaemonSettings;
import org.crocushaven.settings.SettingsLoader;

/**
 * Starts the daemon with the settings file named on the command line.
 *
 * <p>SIGTERM and SIGINT stop it gracefully. The exit status is 0 after a graceful stop, otherwise
 * the exit status of the result code.
 */
public final class Main {
    private Main() {}

    /** Runs the daemon until the process is stopped. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        final OptionParser parser = new OptionParser();
        final OptionSpec<String> settingsFile =
                parser.accepts("settings", "settings file in TOML")
                        .withRequiredArg()
                        .describedAs("FILE");
        final OptionSpec<Void> checkOnly =
                parser.accepts("check", "check the settings file and exit");
        final OptionSpec<Void> help = parser.accepts("help", "print this help and exit").forHelp();
        try {
            final OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(System.out);
                return;
            }
            if (!options.has(settingsFile)) {
                throw ResultException.of(
                        ResultCode.COMMAND_LINE_INVALID, "the option --settings FILE is missing");
            }
            final DaemonSettings settings =
                    SettingsLoader.load(Path.of(options.valueOf(settingsFile)));
            if (!options.has(checkOnly)) {
                run(settings);
            }
        } catch (OptionException invalid) {
            exit(ResultException.of(ResultCode.COMMAND_LINE_INVALID, invalid.getMessage()));
        } catch (ResultException failure) {
            exit(failure);
        }
    }

    private static void run(DaemonSettings settings) throws InterruptedException {
        final Daemon daemon = Daemon.start(settings, Main::stopProcess);
        final CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    daemon.stop();
                                    stopped.countDown();
                                },
                                "stop"));
        stopped.await();
    }

    /**
     * Stops the process as SIGTERM does. It uses a new thread because System.exit blocks its caller
     * and the stop waits for the calling thread.
     */
    private static void stopProcess() {
        new Thread(() -> System.exit(0), "stop-order").start();
    }

    private static void exit(ResultException failure) {
        EventLine.of("start-refused")
                .with("code", failure.code().number())
                .with("detail", failure.getMessage())
                .error();
        System.err.println(failure.code().number() + " " + failure.getMessage());
        System.exit(failure.code().exitStatus());
    }
}
