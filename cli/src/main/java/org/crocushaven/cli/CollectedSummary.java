package org.crocushaven.cli;

import java.nio.file.Path;
import java.util.List;
import org.crocushaven.configuration.PublishServices;

/**
 * Contains how many files, services, organisations and adapters were collected.
 *
 * @param files number of service files
 * @param services number of services
 * @param organisations number of organisations
 * @param adapters number of adapters
 */
record CollectedSummary(int files, int services, int organisations, int adapters) {
    static CollectedSummary of(List<Path> files, PublishServices publication) {
        return new CollectedSummary(
                files.size(),
                publication.services().size(),
                publication.organisations().size(),
                publication.adapters().size());
    }

    Table table() {
        return Table.of("FILES", "SERVICES", "ORGANISATIONS", "ADAPTERS")
                .row(files, services, organisations, adapters);
    }
}
