package org.crocushaven.protocol;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Looks up the addresses at which instances accept messages from other instances. */
@FunctionalInterface
public interface PeerAddresses {
    /** Returns the address of the named instance, or empty if it is unknown. */
    Optional<InetSocketAddress> addressOf(String instance);
}
