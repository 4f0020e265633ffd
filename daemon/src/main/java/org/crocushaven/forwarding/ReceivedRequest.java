package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Holds a request that was received whole.
 *
 * @param head its head
 * @param body its body; the holder of this record releases it or passes it on
 */
record ReceivedRequest(HttpRequest head, ByteBuf body) {}
