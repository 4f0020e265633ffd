package org.crocushaven.configuration;

import java.util.List;

/**
 * Replaces the complete publication of one publisher.
 *
 * <p>Services, organisations and adapters of the publisher's previous publication that this one
 * does not contain are removed. A name belongs to the publisher that published it first, until that
 * publisher removes it.
 *
 * @param publisher name of the publisher
 * @param services its services
 * @param organisations its organisations
 * @param adapters its adapters, which may refer to services and organisations of other publishers
 */
public record PublishServices(
        String publisher,
        List<Service> services,
        List<Organisation> organisations,
        List<Adapter> adapters)
        implements Change {
    public PublishServices {
        services = List.copyOf(services);
        organisations = List.copyOf(organisations);
        adapters = List.copyOf(adapters);
    }
}
