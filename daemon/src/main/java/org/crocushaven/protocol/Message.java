package org.crocushaven.protocol;

/** Marks a record as a message between instances, encoded as a MessagePack array. */
public interface Message {}
