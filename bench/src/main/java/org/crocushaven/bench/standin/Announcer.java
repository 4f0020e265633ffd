package org.crocushaven.bench.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Announces one backend server to the fleet: sends its registration, heartbeats, drain and leave.
 *
 * <p>Announcements are sent on the announcer's own thread. When an address gives no answer in time,
 * the next one is tried.
 */
final class Announcer implements AutoCloseable {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration LEAVE_TIMEOUT = Duration.ofMillis(800);
    private static final int OK_STATUS = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(ANNOUNCEMENT_TIMEOUT)
                    .build();

    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        final Thread thread = new Thread(task, "announcer");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final AnnouncedStandIn standIn;
    private final List<String> addresses;
    private int addressIndex;
    private long incarnation = System.currentTimeMillis();
    private long sequence;
    private boolean registered;
    private volatile boolean draining;

    private Announcer(AnnouncedStandIn standIn, List<String> addresses) {
        this.standIn = standIn;
        this.addresses = List.copyOf(addresses);
        addressIndex = Math.floorMod(standIn.name().hashCode(), Math.max(1, addresses.size()));
    }

    /** Starts to announce the stand-in; sends nothing if the list of addresses is empty. */
    static Announcer start(AnnouncedStandIn standIn, List<String> addresses) {
        final Announcer announcer = new Announcer(standIn, addresses);
        if (!addresses.isEmpty()) {
            announcer.executor.scheduleAtFixedRate(
                    announcer::announce, 0, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        return announcer;
    }

    /** Announces that the server is draining and should get no new requests. */
    void drain() {
        draining = true;
        if (!addresses.isEmpty()) {
            executor.execute(() -> send("drain", identity(), ANNOUNCEMENT_TIMEOUT));
        }
    }

    /** Announces that the server has left, then stops the announcer. */
    void leave() {
        if (!addresses.isEmpty()) {
            final var sent =
                    CompletableFuture.runAsync(
                            () -> send("leave", identity(), LEAVE_TIMEOUT), executor);
            sent.completeOnTimeout(null, LEAVE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).join();
        }
        close();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void announce() {
        if (!registered) {
            register();
        }
        if (registered) {
            heartbeat();
        }
    }

    private void register() {
        final Map<String, Object> body = new HashMap<>(standIn.registration().fields());
        body.put("incarnation", incarnation);
        registered = send("register", body, ANNOUNCEMENT_TIMEOUT) == OK_STATUS;
    }

    /**
     * Sends a heartbeat; registers again if the answer has status 404, and with a higher
     * incarnation if it has status 409.
     */
    private void heartbeat() {
        final Map<String, Object> body = new HashMap<>(standIn.heartbeatLoad().join());
        body.putAll(identity());
        sequence++;
        body.put("sequence", sequence);
        body.put("draining", draining);
        final int status = send("heartbeat", body, ANNOUNCEMENT_TIMEOUT);
        if (status == 404) {
            register();
        } else if (status == 409) {
            incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
            register();
        }
    }

    private Map<String, Object> identity() {
        return Map.of("name", standIn.name(), "incarnation", incarnation);
    }

    /**
     * Sends to the current address, then to the others in turn until one answers; returns 0 if none
     * does or the thread is interrupted.
     */
    private int send(String kind, Map<String, Object> body, Duration timeout) {
        for (int attempt = 0; attempt < addresses.size(); attempt++) {
            final String target = addresses.get(addressIndex % addresses.size());
            try {
                return post(URI.create("http://" + target + "/announce/" + kind), body, timeout);
            } catch (IOException noAnswer) {
                addressIndex++;
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return 0;
            }
        }
        return 0;
    }

    private static int post(URI target, Map<String, Object> body, Duration timeout)
            throws IOException, InterruptedException {
        final HttpRequest request =
                HttpRequest.newBuilder(target)
                        .timeout(timeout)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(encode(body)))
                        .build();
        return CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private static String encode(Map<String, Object> body) throws JsonProcessingException {
        return MAPPER.writeValueAsString(body);
    }
}
