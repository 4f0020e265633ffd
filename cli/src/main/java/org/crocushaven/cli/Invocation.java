package org.crocushaven.cli;

import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.configuration.PublicationRules;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Represents one run of a command: its options, arguments, output and operator client. */
final class Invocation {
    private final Console console;
    private final OptionSet options;
    private final List<String> arguments;
    private final Output output;

    private Invocation(Console console, OptionSet options) {
        this.console = console;
        this.options = options;
        arguments = options.nonOptionArguments().stream().map(String::valueOf).toList();
        output = Output.of(console.output(), CommonOptions.format(options));
    }

    static Invocation of(Console console, OptionSet options) {
        return new Invocation(console, options);
    }

    /**
     * Returns the arguments.
     *
     * @throws ResultException with {@code COMMAND_LINE_INVALID} when there are fewer than the
     *     minimum or more than the maximum
     */
    List<String> arguments(int minimum, int maximum) {
        if (arguments.size() < minimum || arguments.size() > maximum) {
            throw ResultException.of(
                    ResultCode.COMMAND_LINE_INVALID,
                    arguments.size() + " arguments; allowed: " + range(minimum, maximum));
        }
        return arguments;
    }

    /** Returns the value of an option. */
    Optional<String> option(String name) {
        return Optional.ofNullable(options.valueOf(name)).map(String::valueOf);
    }

    /** Returns all values of an option that may be given several times. */
    List<String> options(String name) {
        return options.valuesOf(name).stream().map(String::valueOf).toList();
    }

    /** Returns whether an option without value is given. */
    boolean has(String name) {
        return options.has(name);
    }

    Console console() {
        return console;
    }

    Output output() {
        return output;
    }

    /** Returns a client of the operator port. */
    OperatorClient client() {
        return OperatorClient.of(
                CommonOptions.addresses(options, console),
                CommonOptions.operatorKey(options, console),
                CommonOptions.timeout(options));
    }

    /** Submits a change with the operator's name and a change number, and returns the answer. */
    ChangeAnswer submit(Change change) {
        final String operator = option(CommonOptions.OPERATOR).orElseThrow();
        if (!PublicationRules.NAME.matcher(operator).matches()) {
            throw ResultException.of(
                    ResultCode.COMMAND_LINE_INVALID,
                    "--operator: allowed: " + PublicationRules.NAME_ALLOWED);
        }
        final long number = CommonOptions.number(options).orElseGet(console.clock()::time);
        console.errors().println("change " + number + " of " + operator);
        return client().submit(new NumberedChange(operator, number, change));
    }

    private static String range(int minimum, int maximum) {
        if (maximum == Integer.MAX_VALUE) {
            return minimum + " or more";
        }
        return minimum == maximum ? Integer.toString(minimum) : minimum + " to " + maximum;
    }
}
