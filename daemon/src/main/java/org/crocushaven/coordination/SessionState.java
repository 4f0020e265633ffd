package org.crocushaven.coordination;

import java.util.List;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.admission.ShareReport;

/** Supplies what an instance reports in its heartbeats, and applies what the answers contain. */
public interface SessionState {
    /** Returns the backend servers that announced themselves here recently. */
    List<AnnouncedServer> announcedServers();

    /** Returns the dispatcher leases held under the current session. */
    List<HeldAssignment> heldLeases();

    /** Returns the share report for the next heartbeat. */
    ShareReport shareReport();

    /** Applies a grant of shares. */
    void applyShares(ShareGrant grant);

    /** Returns the revision of the fleet table that was applied last. */
    long fleetRevision();

    /** Applies a fleet table unless a newer one was applied; called while the session is valid. */
    void applyFleet(FleetTable table);

    /** Drops all dispatcher leases after the session has ended; they never become valid again. */
    void sessionLost();
}
