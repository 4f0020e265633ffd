package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * The backend servers of the fleet with their dispatchers, as the leader knows them.
 *
 * @param revision increases with each change, also across leader changes
 * @param assignments one for each backend server that has a dispatcher, in name order
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FleetTable(long revision, List<DispatchAssignment> assignments) {
    public FleetTable {
        assignments = List.copyOf(assignments);
    }

    /** Returns an empty table with revision 0. */
    public static FleetTable empty() {
        return new FleetTable(0, List.of());
    }
}
