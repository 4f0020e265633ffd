package org.crocushaven.forwarding;

import io.netty.handler.codec.http.HttpRequest;

/**
 * Holds a request that was received whole.
 *
 * @param head its head
 * @param body its body
 */
record ReceivedRequest(HttpRequest head, RequestBody body) {}
