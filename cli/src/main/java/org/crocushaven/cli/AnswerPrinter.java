package org.crocushaven.cli;

import org.crocushaven.configuration.ChangeAnswer;

/** Prints the answers to accepted changes. */
final class AnswerPrinter {
    private AnswerPrinter() {}

    static void print(Invocation invocation, ChangeAnswer answer) {
        invocation
                .output()
                .print(
                        answer,
                        Table.of("REVISION", "DETAIL").row(answer.revision(), answer.detail()));
    }
}
