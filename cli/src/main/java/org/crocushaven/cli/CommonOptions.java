package org.crocushaven.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.crocushaven.configuration.check.IpAddress;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Options that every command takes. */
final class CommonOptions {
    static final String ADDRESS = "address";
    static final String OPERATOR = "operator";
    static final String NUMBER = "number";
    static final String OPERATOR_KEY_FILE = "operator-key-file";
    static final String OUTPUT = "output";
    static final String TIMEOUT = "timeout";
    static final String HELP = "help";
    static final String ADDRESS_VARIABLE = "CROCUSHAVEN_ADDRESS";
    static final String OPERATOR_KEY_VARIABLE = "CROCUSHAVEN_OPERATOR_KEY";

    private static final String DEFAULT_OPERATOR = "operator";
    private static final int DEFAULT_TIMEOUT_SECONDS = 15;
    private static final int MAXIMUM_TIMEOUT_SECONDS = 3_600;

    private CommonOptions() {}

    static void addTo(OptionParser parser) {
        parser.accepts(ADDRESS, "operator addresses, tried in order; default: " + ADDRESS_VARIABLE)
                .withRequiredArg()
                .describedAs("host:port[,host:port…]");
        parser.accepts(
                        OPERATOR_KEY_FILE,
                        "file with the operator key; default: " + OPERATOR_KEY_VARIABLE)
                .withRequiredArg()
                .describedAs("file");
        parser.accepts(OPERATOR, "operator's name; change numbers are unique per operator")
                .withRequiredArg()
                .describedAs("name")
                .defaultsTo(DEFAULT_OPERATOR);
        parser.accepts(NUMBER, "number of the change; default: Unix time in milliseconds")
                .withRequiredArg()
                .describedAs("number");
        parser.accepts(OUTPUT, "format of the results")
                .withRequiredArg()
                .describedAs("table|json")
                .defaultsTo(Output.TABLE);
        parser.accepts(TIMEOUT, "maximum time to wait for an answer")
                .withRequiredArg()
                .describedAs("seconds")
                .defaultsTo(Integer.toString(DEFAULT_TIMEOUT_SECONDS));
        parser.accepts(HELP, "shows this help");
    }

    static List<String> addresses(OptionSet options, Console console) {
        final String text =
                value(options, ADDRESS)
                        .or(() -> Optional.ofNullable(console.environment().get(ADDRESS_VARIABLE)))
                        .orElseThrow(
                                () ->
                                        invalid(
                                                "give --address host:port or set "
                                                        + ADDRESS_VARIABLE));
        final List<String> addresses = Arrays.asList(text.split(",", -1));
        for (final String address : addresses) {
            if (!IpAddress.isValidSocketAddress(address)) {
                throw invalid("--address " + address + ": allowed: IP address and port");
            }
        }
        return addresses;
    }

    static String operatorKey(OptionSet options, Console console) {
        final Optional<String> file = value(options, OPERATOR_KEY_FILE);
        if (file.isPresent()) {
            return readSecret(Path.of(file.get()));
        }
        return Optional.ofNullable(console.environment().get(OPERATOR_KEY_VARIABLE))
                .orElseThrow(
                        () -> invalid("give --operator-key-file or set " + OPERATOR_KEY_VARIABLE));
    }

    /** Returns the first line of a file, which must not be empty. */
    static String readSecret(Path file) {
        try {
            final String secret =
                    Files.readString(file, StandardCharsets.UTF_8).lines().findFirst().orElse("");
            if (secret.isBlank()) {
                throw invalid("the file " + file + " is empty");
            }
            return secret.trim();
        } catch (IOException failure) {
            throw invalid("the file " + file + " cannot be read");
        }
    }

    static Optional<Long> number(OptionSet options) {
        return value(options, NUMBER).map(text -> parse(NUMBER, text, Long.MAX_VALUE));
    }

    static Duration timeout(OptionSet options) {
        final String text = value(options, TIMEOUT).orElseThrow();
        return Duration.ofSeconds(parse(TIMEOUT, text, MAXIMUM_TIMEOUT_SECONDS));
    }

    static String format(OptionSet options) {
        final String format = value(options, OUTPUT).orElseThrow();
        if (!format.equals(Output.TABLE) && !format.equals(Output.JSON)) {
            throw invalid("--output " + format + ": allowed: table, json");
        }
        return format;
    }

    private static long parse(String option, String text, long maximum) {
        try {
            final long number = Long.parseLong(text);
            if (number >= 1 && number <= maximum) {
                return number;
            }
        } catch (NumberFormatException malformed) {
            throw invalid("--" + option + " " + text + ": allowed: 1 to " + maximum);
        }
        throw invalid("--" + option + " " + text + ": allowed: 1 to " + maximum);
    }

    private static Optional<String> value(OptionSet options, String name) {
        return Optional.ofNullable(options.valueOf(name)).map(String::valueOf);
    }

    private static ResultException invalid(String detail) {
        return ResultException.of(ResultCode.COMMAND_LINE_INVALID, detail);
    }
}
