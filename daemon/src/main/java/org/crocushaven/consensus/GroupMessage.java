package org.crocushaven.consensus;

import org.crocushaven.protocol.Message;

/** A message between replicas of one group. */
public interface GroupMessage extends Message {
    /** Returns the number of the group that the message belongs to. */
    int groupId();

    /** Returns the sender's term. */
    long term();

    /** Returns the storage identity of the sender. */
    long identity();
}
