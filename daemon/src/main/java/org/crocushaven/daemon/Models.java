package org.crocushaven.daemon;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.KeyGrant;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.Service;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Lists the models that a key may use. */
final class Models {
    private Models() {}

    static List<String> permitted(FleetConfiguration configuration, Optional<KeyHash> key) {
        final Optional<String> organisation = key.map(hash -> organisation(configuration, hash));
        final Stream<String> baseModels =
                configuration.services().values().stream()
                        .filter(service -> service.kind() == Service.Kind.ENGINE)
                        .filter(service -> service.open() || organisation.isPresent())
                        .map(Service::baseModel);
        final Stream<String> adapters =
                configuration.adapters().values().stream()
                        .filter(adapter -> isPermitted(adapter, organisation))
                        .flatMap(
                                adapter ->
                                        adapter.versions().stream()
                                                .map(version -> adapter.name() + "@" + version));
        return Stream.concat(baseModels, adapters).distinct().sorted().toList();
    }

    private static boolean isPermitted(Adapter adapter, Optional<String> organisation) {
        return organisation.isPresent()
                && (adapter.organisations().isEmpty()
                        || adapter.organisations().contains(organisation.get()));
    }

    private static String organisation(FleetConfiguration configuration, KeyHash hash) {
        final KeyGrant grant =
                configuration
                        .key(hash)
                        .orElseThrow(() -> ResultException.of(ResultCode.KEY_UNKNOWN));
        if (grant.withdrawn()) {
            throw ResultException.of(ResultCode.KEY_WITHDRAWN);
        }
        return grant.organisation();
    }
}
