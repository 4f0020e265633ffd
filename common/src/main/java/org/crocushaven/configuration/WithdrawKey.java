package org.crocushaven.configuration;

/**
 * Withdraws a key permanently.
 *
 * @param key the key's hash, or at least its first eight digits
 */
public record WithdrawKey(String key) implements Change {}
