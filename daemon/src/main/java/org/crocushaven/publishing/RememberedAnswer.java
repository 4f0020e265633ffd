package org.crocushaven.publishing;

import org.crocushaven.configuration.ChangeAnswer;

/**
 * Stores the answer to a change, so that the same change gets it again.
 *
 * @param operator name of the operator
 * @param number the operator's number for the change
 * @param digest hexadecimal SHA-256 digest of the change's content
 * @param answer the answer
 */
record RememberedAnswer(String operator, long number, String digest, ChangeAnswer answer) {}
