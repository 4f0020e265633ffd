package org.crocushaven.protocol;

import org.crocushaven.result.ResultCode;

/** Observes protocol errors on connections between instances. */
@FunctionalInterface
public interface ProtocolListener {
    /**
     * Called when a connection is closed because an invalid frame was received.
     *
     * @param peer name of the peer, or its address if no {@link Hello} has identified it
     */
    void onInvalidFrame(String peer, ResultCode code, String detail);
}
