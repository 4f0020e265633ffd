package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import org.crocushaven.outbound.BackendPool;

/**
 * What the current holder of the right to send orders needs to send them.
 *
 * @param dialect encodes orders
 * @param pool connections to engines
 * @param loop event loop on which orders are sent
 * @param holder name of the holder
 * @param token fencing token; grows with each holder
 * @param mayOrder whether the holder may still send orders
 */
record EngineOrderContext(
        ControlDialect dialect,
        BackendPool pool,
        EventLoop loop,
        String holder,
        long token,
        BooleanSupplier mayOrder) {}
