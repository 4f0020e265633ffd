package org.crocushaven.cli;

import org.crocushaven.configuration.PublicationRules;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Validates names of instances and backend servers before they are sent to the operator port, where
 * the name of an instance is part of the request path.
 */
final class NameValidator {
    private NameValidator() {}

    /** Returns the name, or throws {@code COMMAND_LINE_INVALID} when it is not a valid name. */
    static String requireValid(String name) {
        if (!PublicationRules.NAME.matcher(name).matches()) {
            throw ResultException.of(
                    ResultCode.COMMAND_LINE_INVALID,
                    "the name " + name + ": allowed: " + PublicationRules.NAME_ALLOWED);
        }
        return name;
    }
}
