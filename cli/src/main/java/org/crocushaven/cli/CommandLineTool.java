package org.crocushaven.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import joptsimple.BuiltinHelpFormatter;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Finds the command of a command line, runs it and turns its outcome into an exit status. */
final class CommandLineTool {
    private static final int HELP_COLUMNS = 100;
    private static final int HELP_COLUMN_GAP = 2;
    private static final List<String> HELP_WORDS = List.of("help", "--help", "-h");
    private static final List<Command> COMMANDS =
            List.of(
                    new ValidateCommand(),
                    new PublishCommand(),
                    new StatusCommand(),
                    new ServicesCommand(),
                    new OrganisationsCommand(),
                    new KeysCommand(),
                    new BackendsCommand(),
                    new AdaptersCommand(),
                    new VotersCommand(),
                    new DrainCommand(),
                    new ExplainCommand());

    private final Console console;

    private CommandLineTool(Console console) {
        this.console = console;
    }

    static CommandLineTool of(Console console) {
        return new CommandLineTool(console);
    }

    /** Runs a command line and returns the exit status. */
    int run(String... arguments) {
        try {
            return runCommand(arguments);
        } catch (ResultException refusal) {
            console.errors()
                    .println(
                            "error "
                                    + refusal.code().number()
                                    + " "
                                    + refusal.code()
                                    + ": "
                                    + refusal.getMessage());
            return refusal.code().exitStatus();
        }
    }

    private int runCommand(String... arguments) {
        if (arguments.length == 0 || HELP_WORDS.contains(arguments[0])) {
            printOverview(console.output());
            return ResultCode.OK.exitStatus();
        }
        final Command command = find(arguments[0]);
        final OptionParser parser = new OptionParser();
        CommonOptions.addTo(parser);
        command.addOptions(parser);
        final OptionSet options = parse(parser, Arrays.copyOfRange(arguments, 1, arguments.length));
        if (options.has(CommonOptions.HELP)) {
            printHelp(command, parser);
        } else {
            runInvocation(command, Invocation.of(console, options));
        }
        return ResultCode.OK.exitStatus();
    }

    private static void runInvocation(Command command, Invocation invocation) {
        try {
            command.run(invocation);
        } catch (ResultException refusal) {
            invocation.output().printRefusal(refusal);
            throw refusal;
        }
    }

    private static Command find(String name) {
        final Optional<Command> command =
                COMMANDS.stream().filter(each -> each.name().equals(name)).findFirst();
        return command.orElseThrow(
                () ->
                        ResultException.of(
                                ResultCode.COMMAND_LINE_INVALID,
                                "unknown command " + name + "; see crocushaven help"));
    }

    private static OptionSet parse(OptionParser parser, String... arguments) {
        try {
            return parser.parse(arguments);
        } catch (OptionException invalid) {
            throw ResultException.of(ResultCode.COMMAND_LINE_INVALID, invalid.getMessage());
        }
    }

    private static void printOverview(PrintStream output) {
        output.println("crocushaven COMMAND [ARGUMENT…] [OPTION…]");
        output.println();
        for (final Command command : COMMANDS) {
            output.println(
                    String.format(Locale.ROOT, "  %-14s %s", command.name(), command.summary()));
        }
        output.println();
        output.println("crocushaven COMMAND --help shows options and examples.");
        output.println(
                "Exit status: 0 when accepted; otherwise by result code, see RESULT-CODES.md.");
    }

    private void printHelp(Command command, OptionParser parser) {
        final PrintStream output = console.output();
        output.println("crocushaven " + command.name() + " " + command.arguments() + " [OPTION…]");
        output.println(command.summary());
        output.println();
        try {
            parser.formatHelpWith(new BuiltinHelpFormatter(HELP_COLUMNS, HELP_COLUMN_GAP));
            parser.printHelpOn(output);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        output.println();
        output.println("Examples:");
        command.examples().forEach(example -> output.println("  " + example));
    }
}
