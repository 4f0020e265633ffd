package org.crocushaven.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.PrintStream;
import org.crocushaven.configuration.ConfigurationMappers;
import org.crocushaven.result.ResultException;

/** Prints results as a table for people or as JSON for programs. */
final class Output {
    static final String TABLE = "table";
    static final String JSON = "json";

    private static final ObjectWriter WRITER =
            ConfigurationMappers.json().writerWithDefaultPrettyPrinter();

    private final PrintStream stream;
    private final String format;

    private Output(PrintStream stream, String format) {
        this.stream = stream;
        this.format = format;
    }

    static Output of(PrintStream stream, String format) {
        return new Output(stream, format);
    }

    /** Prints a result in the format that was chosen on the command line. */
    void print(Object value, Table table) {
        if (format.equals(TABLE)) {
            stream.print(table.format());
            return;
        }
        printJson(value);
    }

    /** Prints a refusal if the format is JSON; the error stream shows it in every format. */
    void printRefusal(ResultException refusal) {
        if (format.equals(JSON)) {
            printJson(
                    new Refusal(
                            refusal.code().number(),
                            refusal.code().name(),
                            refusal.execution().headerValue(),
                            refusal.getMessage()));
        }
    }

    private void printJson(Object value) {
        try {
            stream.println(WRITER.writeValueAsString(value));
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Contains the fields of a refusal that is printed as JSON. */
    private record Refusal(int code, String title, String execution, String detail) {}
}
