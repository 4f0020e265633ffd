package org.crocushaven.configuration.servicefile;

import java.util.List;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.Service;

/**
 * The contents of one service file, or of several merged ones.
 *
 * @param services the services; at most one for each file
 * @param organisations the organisations
 * @param adapters the adapters, with series expanded
 */
record ServiceFile(
        List<Located<Service>> services,
        List<Located<Organisation>> organisations,
        List<Located<Adapter>> adapters) {
    ServiceFile {
        services = List.copyOf(services);
        organisations = List.copyOf(organisations);
        adapters = List.copyOf(adapters);
    }
}
