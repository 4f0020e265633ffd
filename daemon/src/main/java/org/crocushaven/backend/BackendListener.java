package org.crocushaven.backend;

import java.util.List;
import java.util.Map;
import org.crocushaven.result.ResultException;

/**
 * Receives the answer of a backend server.
 *
 * <p>Unless the call is cancelled, either {@link #onEnd} or {@link #onFailure} is called, exactly
 * once.
 */
public interface BackendListener {
    /**
     * Called just before the first byte of the request is written to the connection.
     *
     * @throws ResultException to prevent the request from being sent
     */
    void onSending();

    /**
     * Called when the status and headers have arrived and the answer is to be delivered. A
     * successful answer of an engine is delivered only if it echoes the requested adapter version.
     */
    void onHead(int status, Map<String, List<String>> headers);

    /** Called when a part of the body has arrived. */
    void onBytes(byte[] bytes);

    /**
     * Called when the answer is complete.
     *
     * @param usedTokens number of prompt and output tokens together, or -1 if the answer reports
     *     none
     */
    void onEnd(long usedTokens);

    /** Called when the request has failed; the exception says whether it was executed. */
    void onFailure(ResultException failure);
}
