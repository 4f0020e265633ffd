package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import org.crocushaven.outbound.BackendPool;

/**
 * With what one holder gives orders to engines.
 *
 * @param dialect encodes orders
 * @param pool connections to engines
 * @param loop event loop on which orders are given
 * @param holder name of the holder
 * @param token number of its right to give orders; grows with each holder
 * @param mayOrder whether the right still stands
 */
record EngineOrderContext(
        ControlDialect dialect,
        BackendPool pool,
        EventLoop loop,
        String holder,
        long token,
        BooleanSupplier mayOrder) {}
