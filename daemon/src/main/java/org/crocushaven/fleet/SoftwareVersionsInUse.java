package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Optional;

/**
 * The software versions at which streams may be under way. Each is committed before gateways hear
 * of a backend server that has it, so that every later leader knows it.
 *
 * <p>A command holds all of them, not what changed: an instance whose software did not know them
 * may have dropped earlier ones.
 *
 * @param term term of the leader that committed them; 0 if none has
 * @param complete whether there are no others
 * @param versions the versions and their services
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SoftwareVersionsInUse(long term, boolean complete, List<StreamOrigin> versions) {
    static final SoftwareVersionsInUse NONE_KNOWN = new SoftwareVersionsInUse(0, false, List.of());

    public SoftwareVersionsInUse {
        versions = List.copyOf(versions);
    }

    /** Returns the only version of a service; empty if it may have several or none is known. */
    Optional<StreamOrigin> only(String service) {
        final List<StreamOrigin> known =
                versions.stream().filter(origin -> origin.service().equals(service)).toList();
        return complete && known.size() == 1 ? Optional.of(known.get(0)) : Optional.empty();
    }

    /** Returns the same versions of which it is not known whether there are others. */
    SoftwareVersionsInUse incomplete() {
        return new SoftwareVersionsInUse(term, false, versions);
    }
}
