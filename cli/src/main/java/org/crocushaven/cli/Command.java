package org.crocushaven.cli;

import java.util.List;
import joptsimple.OptionParser;

/** One command of the tool. */
interface Command {
    /** Returns the name of the command, as given on the command line. */
    String name();

    /** Returns the arguments that the command takes, for the usage line. */
    String arguments();

    /** Returns a one-line summary of what the command does. */
    String summary();

    /** Returns complete command lines as examples. */
    List<String> examples();

    /** Adds the command's own options. */
    default void addOptions(OptionParser parser) {}

    /**
     * Runs the command.
     *
     * @throws org.crocushaven.result.ResultException when it is refused or fails
     */
    void run(Invocation invocation);
}
