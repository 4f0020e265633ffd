package org.crocushaven.operator;

import java.util.Comparator;
import java.util.List;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.Service;
import org.crocushaven.status.KeyStatus;

/** Sorted lists of the configured services, organisations and keys. */
final class ConfigurationViews {
    private static final Comparator<KeyStatus> KEY_ORDER =
            Comparator.comparing(KeyStatus::organisation).thenComparing(KeyStatus::identifier);

    private ConfigurationViews() {}

    static List<Service> services(ControlPlane plane) {
        return plane.configuration().services().values().stream()
                .sorted(Comparator.comparing(Service::name))
                .toList();
    }

    static List<Organisation> organisations(ControlPlane plane) {
        return plane.configuration().organisations().values().stream()
                .sorted(Comparator.comparing(Organisation::name))
                .toList();
    }

    static List<KeyStatus> keys(ControlPlane plane) {
        return plane.configuration().keys().values().stream()
                .map(KeyStatus::of)
                .sorted(KEY_ORDER)
                .toList();
    }
}
