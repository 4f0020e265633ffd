package org.crocushaven.bench.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Loads adapter versions for an engine. */
@FunctionalInterface
interface AdapterSource {
    Duration LOAD_TIMEOUT = Duration.ofSeconds(30);

    /** Loads an adapter version; the future completes when the load ends. */
    CompletableFuture<Void> load(String adapterVersion);

    /** Returns a source that loads from the given weight store, or only waits if there is none. */
    static AdapterSource of(Optional<URI> weightStore, long delayMillis) {
        return weightStore
                .map(AdapterSource::loadFromStore)
                .orElseGet(() -> adapterVersion -> completeAfter(delayMillis));
    }

    private static AdapterSource loadFromStore(URI weightStore) {
        final HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        return adapterVersion -> {
            final HttpRequest request =
                    HttpRequest.newBuilder(weightStore.resolve("/weights/" + adapterVersion))
                            .timeout(LOAD_TIMEOUT)
                            .build();
            return client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                    .thenAccept(AdapterSource::requireSuccess);
        };
    }

    private static void requireSuccess(HttpResponse<Void> response) {
        if (response.statusCode() != 200) {
            throw new IllegalStateException(
                    "weight store must answer with status 200, got " + response.statusCode());
        }
    }

    private static CompletableFuture<Void> completeAfter(long delayMillis) {
        return new CompletableFuture<Void>()
                .completeOnTimeout(null, delayMillis, TimeUnit.MILLISECONDS);
    }
}
