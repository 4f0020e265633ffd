import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one gateway upload bodies up to the size that the configuration allows, many at the same
 * time and one after the other; other clients send small requests on kept connections, also after
 * the uploads.
 */
final class Uploads {
    private static final int UPLOADS = Integer.getInteger("uploads", 94);
    private static final int BODY_BYTES = 4_194_304;
    /** Each client sends at 6 Mbit/s, so that all together take six tenths of the link. */
    private static final int PIECE_BYTES = Integer.getInteger("piece", 37_500);

    /** Whether two bodies of three are smaller, of 4 KiB to 2 MiB. */
    private static final boolean MIXED = !"false".equals(System.getProperty("mixed"));

    private static final long PIECE_MILLIS = 50;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int SMALL_CLIENTS = 16;
    private static final long SMALL_PAUSE_MILLIS = 250;
    private static final long UPLOAD_SECONDS = Integer.getInteger("seconds", 50);
    private static final long QUIET_SECONDS = 15;

    private final Rig rig;
    private final java.util.List<Rig.Worker> workers;
    private final String gateway;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final java.util.Set<Rig.Client> uploading = ConcurrentHashMap.newKeySet();
    private final java.util.Set<String> withoutAnswer = ConcurrentHashMap.newKeySet();
    private final AtomicInteger uploadsAnswered = new AtomicInteger();
    private final AtomicInteger uploadsEnded = new AtomicInteger();

    private Uploads(Rig rig, java.util.List<Rig.Worker> workers) {
        this.rig = rig;
        this.workers = workers;
        this.gateway = rig.gateways.get(0).host;
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, Uploads::isBroken);
    }

    private static boolean isBroken(Rig rig) throws Exception {
        rig.start(1);
        final java.util.List<Rig.Worker> workers = new java.util.ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            workers.add(rig.new Worker("w" + number, "plain", "zone-a", 60, Uploads::work));
        }
        rig.configure(
                Configurations.of(
                        1,
                        Configurations.route("uploads", "/up/", "non_idempotent", 15_000, true)
                                + ","
                                + Configurations.route(
                                        "small", "/small/", "non_idempotent", TIMEOUT_MILLIS, true),
                        ""));
        rig.awaitReady(20_000);
        Rig.sleep(2_500);
        return new Uploads(rig, workers).isBroken();
    }

    private static void work(Rig.Worker worker, Rig.Request request, java.io.OutputStream out)
            throws Exception {
        Rig.sleep(request.target.startsWith("/up/") ? 200 : 20);
        worker.succeed(out, request, "done".getBytes());
    }

    private boolean isBroken() throws Exception {
        final CountDownLatch ended = new CountDownLatch(SMALL_CLIENTS);
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 + UPLOAD_SECONDS + QUIET_SECONDS);
        final long uploadEnd = end - TimeUnit.SECONDS.toNanos(QUIET_SECONDS);
        for (int number = 0; number < SMALL_CLIENTS; number++) {
            final int client = number;
            Rig.thread(
                    () -> {
                        sendSmall(client, end);
                        ended.countDown();
                    });
        }
        Rig.sleep(2_000);
        if (Rig.trouble()) {
            rig.log(
                    "%d clients begin to upload up to %d bytes each, again and again for %d s",
                    UPLOADS, BODY_BYTES, UPLOAD_SECONDS);
            for (int number = 0; number < UPLOADS; number++) {
                final int client = number;
                Rig.thread(() -> uploadUntil(client, uploadEnd));
            }
        }
        Rig.sleep(TimeUnit.NANOSECONDS.toMillis(uploadEnd - System.nanoTime()));
        uploading.forEach(Rig.Client::close);
        rig.log("no client uploads any more");
        ended.await(2 * QUIET_SECONDS, TimeUnit.SECONDS);
        final boolean answersAgain = answersNow();
        final String written = rig.gateways.get(0).written();
        rig.log(
                "small requests: %d sent, %d longer than the route's %d ms, %d of them without an"
                        + " answer 500 ms after it",
                sent.get(), late.get(), TIMEOUT_MILLIS, unanswered.get());
        rig.log(
                "of those without an answer, %d have run at a worker",
                withoutAnswer.stream()
                        .filter(
                                attempt ->
                                        workers.stream()
                                                .anyMatch(w -> w.runs.containsKey(attempt)))
                        .count());
        rig.log(
                "uploads: %d answered, %d ended without an answer",
                uploadsAnswered.get(), uploadsEnded.get() - uploadsAnswered.get());
        rig.log(
                "gateway, %d s after the uploads: runs=%s answers=%s ready=%s; %d lines of"
                        + " OutOfMemoryError, %d of them ended a thread",
                QUIET_SECONDS,
                rig.gateways.get(0).process.isAlive(),
                answersAgain,
                rig.gateways.get(0).isReady(),
                written.split("OutOfMemoryError", -1).length - 1,
                written.split("Exception in thread", -1).length - 1);
        if (!answersAgain && rig.gateways.get(0).process.isAlive()) {
            rig.log("the gateway HANGS: its process runs and answers nobody");
        }
        final boolean hangs = !answersAgain && rig.gateways.get(0).process.isAlive();
        return hangs || unanswered.get() >= 8 && unanswered.get() * 4 > late.get();
    }

    /** Sends small requests one after the other, on a kept connection while that lives. */
    private void sendSmall(int client, long endNanos) {
        Rig.Client connection = null;
        for (int number = 0; System.nanoTime() < endNanos; number++) {
            final String attempt = "small-" + client + '-' + number;
            final long begun = System.nanoTime();
            sent.incrementAndGet();
            String outcome;
            boolean answered = false;
            try {
                if (connection == null) {
                    connection = new Rig.Client(gateway, rig.frontendPort, 1_000);
                }
                connection.send("POST", "/small/x", headers(attempt, 10_000), "hi".getBytes());
                final Rig.Answer answer = connection.read(TIMEOUT_MILLIS + 500);
                answered = true;
                outcome = answer.toString();
                if (!answer.keepsOpen()) {
                    connection.close();
                    connection = null;
                }
            } catch (java.io.IOException failure) {
                outcome = failure.toString();
                if (connection != null) {
                    connection.close();
                    connection = null;
                }
            }
            final long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            if (millis > TIMEOUT_MILLIS) {
                late.incrementAndGet();
                if (!answered) {
                    unanswered.incrementAndGet();
                    withoutAnswer.add(attempt);
                }
            }
            rig.log("%s after %d ms: %s", attempt, millis, outcome);
            Rig.sleep(SMALL_PAUSE_MILLIS);
        }
        if (connection != null) {
            connection.close();
        }
    }

    /** Returns whether a new connection gets an answer to a small request within three seconds. */
    private boolean answersNow() {
        try (Rig.Client connection = new Rig.Client(gateway, rig.frontendPort, 1_000)) {
            connection.send("POST", "/small/x", headers("small-last", 3_000), "hi".getBytes());
            rig.log("small-last: %s", connection.read(3_000));
            return true;
        } catch (java.io.IOException failure) {
            rig.log("small-last: %s", failure);
            return false;
        }
    }

    private void uploadUntil(int client, long endNanos) {
        for (int number = 0; System.nanoTime() < endNanos; number++) {
            upload(client, number);
        }
    }

    private void upload(int client, int number) {
        final String attempt = "upload-" + client + '-' + number;
        String outcome;
        try (Rig.Client connection = new Rig.Client(gateway, rig.frontendPort, 1_000)) {
            uploading.add(connection);
            final StringBuilder head = new StringBuilder("POST /up/x HTTP/1.1\r\n");
            headers(attempt, 15_000).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            final int bytes = MIXED && number % 3 != 0 ? 4_096 << (client + number) % 10 : BODY_BYTES;
            head.append("Content-Length: " + bytes + "\r\n\r\n");
            connection.out.write(head.toString().getBytes());
            for (int position = 0; position < bytes; position += PIECE_BYTES) {
                connection.out.write(new byte[Math.min(PIECE_BYTES, bytes - position)]);
                Rig.sleep(PIECE_MILLIS);
            }
            outcome = connection.read(15_500).toString();
            uploadsAnswered.incrementAndGet();
        } catch (java.io.IOException failure) {
            outcome = failure.toString();
            Rig.sleep(100);
        }
        uploadsEnded.incrementAndGet();
        rig.log("%s: %s", attempt, outcome);
    }

    private static Map<String, String> headers(String attempt, int deadlineMillis) {
        return Map.of(
                "Host", "a.example",
                Rig.ATTEMPT, attempt,
                "X-Crocushaven-Deadline-Ms", Integer.toString(deadlineMillis));
    }
}
