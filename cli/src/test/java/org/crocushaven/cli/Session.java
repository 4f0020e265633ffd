package org.crocushaven.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;

/** Runs command lines one after the other and records what an operator sees. */
final class Session {
    private static final long NOW_EPOCH_MILLIS = 1_796_335_200_000L;
    private static final long RANDOM_SEED = 7;

    private final StringBuilder record = new StringBuilder();
    private final Random random = new Random(RANDOM_SEED);
    private final Map<String, String> environment;

    Session(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Runs a command line, its arguments separated by single spaces. */
    Session run(String commandLine) {
        final ByteArrayOutputStream output = new ByteArrayOutputStream();
        final ByteArrayOutputStream errors = new ByteArrayOutputStream();
        final Console console =
                new Console(
                        new PrintStream(output, true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8),
                        environment,
                        () -> NOW_EPOCH_MILLIS,
                        random);
        final int status = CommandLineTool.of(console).run(commandLine.split(" "));
        record.append("$ crocushaven ").append(commandLine).append('\n');
        append("", output);
        append("! ", errors);
        record.append("exit ").append(status).append("\n\n");
        return this;
    }

    /** Adds a remark to the record about what happens between two command lines. */
    Session remark(String text) {
        record.append("# ").append(text).append('\n');
        return this;
    }

    /** Returns all that was recorded. */
    String recorded() {
        return record.toString();
    }

    private void append(String prefix, ByteArrayOutputStream bytes) {
        bytes.toString(StandardCharsets.UTF_8)
                .lines()
                .forEach(line -> record.append((prefix + line).stripTrailing()).append('\n'));
    }
}
