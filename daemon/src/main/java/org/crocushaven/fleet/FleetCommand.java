package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A change of the replicated state of a fleet.
 *
 * @param configurationVersion version of the configuration in it; 0 when it holds none
 * @param document the configuration as the operator sent it, compressed
 * @param adapterVersions adapter versions named by it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FleetCommand(
        long configurationVersion, byte[] document, List<AdapterVersion> adapterVersions) {
    public FleetCommand {
        adapterVersions = List.copyOf(adapterVersions);
    }

    /** Returns the command that puts a configuration in force. */
    public static FleetCommand configuration(long version, byte[] document) {
        return new FleetCommand(version, document, List.of());
    }

    /** Returns the command that names an adapter's version. */
    public static FleetCommand adapterVersion(AdapterVersion version) {
        return new FleetCommand(0, new byte[0], List.of(version));
    }
}
