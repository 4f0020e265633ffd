package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import org.crocushaven.outbound.BackendPool;

/**
 * The connections, fencing token and permission with which a leader sends orders to engines.
 *
 * @param dialect encodes orders
 * @param pool connections to engines
 * @param loop event loop on which orders are sent
 * @param holder name of the leader's instance
 * @param token fencing token: the leader's term
 * @param mayOrder whether the leader may still send orders
 */
record EngineOrderContext(
        ControlDialect dialect,
        BackendPool pool,
        EventLoop loop,
        String holder,
        long token,
        BooleanSupplier mayOrder) {}
