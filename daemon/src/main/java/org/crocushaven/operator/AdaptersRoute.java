package org.crocushaven.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.status.AdapterPage;
import org.crocushaven.status.AdapterStatus;
import org.crocushaven.status.BackendStatus;

/**
 * Lists adapters by service and name prefix, with the backend servers on which each version is
 * loaded.
 */
final class AdaptersRoute implements OperatorRoute {
    private static final int DEFAULT_LIMIT = 100;
    private static final int MAXIMUM_LIMIT = 100_000;

    private final ControlPlane plane;

    AdaptersRoute(ControlPlane plane) {
        this.plane = plane;
    }

    @Override
    public CompletableFuture<OperatorResponse> answer(OperatorCall call, String name) {
        final Optional<String> service = call.parameter("service");
        final String prefix = call.parameter("prefix").orElse("");
        final int limit = limit(call);
        final List<Adapter> matches =
                plane.configuration().adapters().values().stream()
                        .filter(adapter -> adapter.name().startsWith(prefix))
                        .filter(adapter -> service.map(adapter.service()::equals).orElse(true))
                        .sorted(Comparator.comparing(Adapter::name))
                        .toList();
        final Map<String, Map<String, List<String>>> loaded = loadedByAdapter();
        final List<AdapterStatus> shown =
                matches.stream()
                        .limit(limit)
                        .map(
                                adapter ->
                                        AdapterStatus.of(
                                                adapter,
                                                loaded.getOrDefault(adapter.name(), Map.of())))
                        .toList();
        return CompletableFuture.completedFuture(
                OperatorResponse.json(new AdapterPage(matches.size(), shown)));
    }

    private static int limit(OperatorCall call) {
        final String text = call.parameter("limit").orElse(Integer.toString(DEFAULT_LIMIT));
        try {
            final int limit = Integer.parseInt(text);
            if (limit >= 1 && limit <= MAXIMUM_LIMIT) {
                return limit;
            }
        } catch (NumberFormatException malformed) {
            throw invalidLimit();
        }
        throw invalidLimit();
    }

    private static ResultException invalidLimit() {
        return ResultException.of(
                ResultCode.MALFORMED_REQUEST,
                "limit must be a whole number from 1 to " + MAXIMUM_LIMIT);
    }

    private Map<String, Map<String, List<String>>> loadedByAdapter() {
        final Map<String, Map<String, List<String>>> byAdapter = new HashMap<>();
        for (final BackendStatus backend : plane.backends()) {
            for (final String text : backend.loaded()) {
                final AdapterVersion version = AdapterVersion.parse(text);
                byAdapter
                        .computeIfAbsent(version.adapter(), key -> new HashMap<>())
                        .computeIfAbsent(version.version(), key -> new ArrayList<>())
                        .add(backend.name());
            }
        }
        return byAdapter;
    }
}
