package org.crocushaven.cli;

import java.security.SecureRandom;
import org.agrona.concurrent.SystemEpochClock;

/** Starts the command-line tool. */
public final class Main {
    private Main() {}

    /** Runs the tool with the given command line. */
    public static void main(String[] arguments) {
        final Console console =
                new Console(
                        System.out,
                        System.err,
                        System.getenv(),
                        SystemEpochClock.INSTANCE,
                        new SecureRandom());
        System.exit(CommandLineTool.of(console).run(arguments));
    }
}
