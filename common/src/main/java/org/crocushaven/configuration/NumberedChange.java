package org.crocushaven.configuration;

import java.util.Objects;

/**
 * A change with a number assigned by its operator, by which a resend is recognised.
 *
 * @param operator name of the operator
 * @param number the operator's number for the change
 * @param change the change
 */
public record NumberedChange(String operator, long number, Change change) {
    public NumberedChange {
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(change, "change");
    }
}
