package org.crocushaven.status;

/**
 * The answer to an operation that has no other result.
 *
 * @param detail human-readable text
 */
public record Acknowledgement(String detail) {}
