package org.crocushaven.bench.path;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import org.crocushaven.bench.process.FreePorts;
import org.crocushaven.bench.standin.Engine;
import org.crocushaven.bench.standin.EngineSettings;
import org.crocushaven.bench.standin.PlainService;
import org.crocushaven.bench.standin.PlainServiceSettings;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.Route;
import org.crocushaven.configuration.Service;
import org.crocushaven.daemon.Daemon;
import org.crocushaven.protocol.PeerAddresses;
import org.crocushaven.settings.CallerLimits;
import org.crocushaven.settings.DaemonSettings;
import org.crocushaven.settings.LoadBudgetSettings;
import org.crocushaven.settings.PolicyWeights;

/**
 * Three real daemons, an engine and a plain service in one process, over real sockets and files.
 */
final class SmallFleet implements AutoCloseable {
    static final String KEY = "key-of-the-test";
    private static final String HOST = "127.0.0.1";
    private static final List<String> VOTERS = List.of("i1", "i2", "i3");

    private final List<Daemon> daemons = new ArrayList<>();
    private final List<DaemonSettings> settings = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private long changeNumber;
    private Engine engine;
    private PlainService office;

    private final Path folder;

    private SmallFleet(Path folder) {
        this.folder = folder;
    }

    /**
     * Starts a fleet with one instance in each of three failure domains, publishes a service of
     * each kind and grants a key.
     *
     * @param links replaces, for the instance of the given number, the addresses of its peers
     */
    static SmallFleet start(Path folder, IntFunction<UnaryOperator<PeerAddresses>> links)
            throws Exception {
        final SmallFleet fleet = new SmallFleet(folder);
        fleet.startAll(links);
        return fleet;
    }

    /** Returns the instances. */
    List<Daemon> daemons() {
        return daemons;
    }

    /** Returns the settings of the instances. */
    List<DaemonSettings> settings() {
        return settings;
    }

    /** Returns the engine's log of the requests that it ran. */
    String engineLog() {
        return send(HttpRequest.newBuilder(
                                URI.create("http://" + HOST + ":" + engine.port() + "/standin/log"))
                        .GET()
                        .build())
                .body();
    }

    private void startAll(IntFunction<UnaryOperator<PeerAddresses>> links) throws Exception {
        final List<Integer> ports = FreePorts.find(12);
        for (int position = 0; position < 3; position++) {
            settings.add(settingsOf(position, ports));
        }
        for (int position = 0; position < 3; position++) {
            daemons.add(Daemon.start(settings.get(position), () -> {}, links.apply(position)));
        }
        await(() -> daemons.stream().allMatch(Daemon::isReady));
        submit(publication());
        submit(new GrantKey(KeyHash.ofKey(KEY), "village", "test"));
        await(() -> daemons.stream().allMatch(daemon -> daemon.configuration().revision() == 2));
        engine =
                Engine.start(
                        new EngineSettings(
                                "e1",
                                "model",
                                "a",
                                HOST,
                                0,
                                List.of(HOST + ":" + settings.get(0).announcementPort()),
                                2,
                                8,
                                true,
                                Optional.empty(),
                                20,
                                EngineSettings.StepSpeed.standard()));
        office =
                PlainService.start(
                        new PlainServiceSettings(
                                "o1",
                                "office",
                                "b",
                                HOST,
                                0,
                                List.of(HOST + ":" + settings.get(1).announcementPort()),
                                8));
    }

    @Override
    public void close() {
        engine.close();
        office.close();
        daemons.forEach(Daemon::stop);
    }

    private DaemonSettings settingsOf(int position, List<Integer> ports) {
        final String name = VOTERS.get(position);
        return new DaemonSettings(
                name,
                List.of("a", "b", "c").get(position),
                HOST,
                ports.get(4 * position),
                ports.get(4 * position + 1),
                ports.get(4 * position + 2),
                ports.get(4 * position + 3),
                List.of(HOST + ":" + ports.get(2), HOST + ":" + ports.get(6)),
                Optional.of(folder.resolve(name)),
                VOTERS,
                KeyHash.ofKey("operator").hex(),
                CallerLimits.defaults(),
                LoadBudgetSettings.defaults(),
                PolicyWeights.equal());
    }

    private static PublishServices publication() {
        return new PublishServices(
                "test",
                List.of(
                        new Service(
                                "model", Service.Kind.ENGINE, "base", false, List.of(), List.of()),
                        new Service(
                                "office",
                                Service.Kind.PLAIN,
                                "",
                                false,
                                List.of(),
                                List.of(
                                        new Route("POST", "/bookings", false, false, 5_000, 10),
                                        new Route("GET", "/hours", true, true, 5_000, 0)))),
                List.of(new Organisation("village", 100_000, 200_000, 1)),
                List.of(new Adapter("permit", "model", List.of("1", "2"), "2", List.of())));
    }

    void submit(Change change) throws Exception {
        assertTrue(
                daemons.get(1)
                        .submit(new NumberedChange("tester", ++changeNumber, change))
                        .get(10, TimeUnit.SECONDS)
                        .isAccepted());
    }

    HttpResponse<String> askUntilServed(DaemonSettings one, String model, String key) {
        await(() -> ask(one, model, key).statusCode() == 200);
        return ask(one, model, key);
    }

    HttpResponse<String> ask(DaemonSettings one, String model, String key) {
        final String body =
                "{\"model\":\"" + model + "\",\"prompt\":\"a cutting slot\",\"max_tokens\":8}";
        return send(
                request(one, "/v1/completions")
                        .header("Authorization", "Bearer " + key)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    HttpResponse<String> book(DaemonSettings one, String key, String body) {
        return send(
                request(one, "/services/office/bookings")
                        .header("Authorization", "Bearer " + KEY)
                        .header("Content-Type", "application/json")
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    HttpResponse<String> openingHours(DaemonSettings one) {
        return send(request(one, "/services/office/hours").GET().build());
    }

    private static HttpRequest.Builder request(DaemonSettings one, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + one.callerPort() + path))
                .timeout(Duration.ofSeconds(10));
    }

    private HttpResponse<String> send(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }

    static void await(BooleanSupplier condition) {
        final long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "condition not reached in 20 s");
            LockSupport.parkNanos(20_000_000);
        }
    }
}
