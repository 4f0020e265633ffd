import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one gateway upload bodies of the size that the configuration allows, all at the same
 * time; meanwhile other clients send small requests on kept connections.
 */
final class Uploads {
    private static final int UPLOADS = Integer.getInteger("uploads", 48);
    private static final int BODY_BYTES = 4_194_304;
    /** Each client sends at 10 Mbit/s, so that all together take less than half of the link. */
    private static final int PIECE_BYTES = 62_500;

    private static final long PIECE_MILLIS = 50;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int SMALL_CLIENTS = 16;
    private static final long SMALL_PAUSE_MILLIS = 250;
    private static final long SMALL_SECONDS = 25;

    private final Rig rig;
    private final java.util.List<Rig.Worker> workers;
    private final String gateway;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
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
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SMALL_SECONDS);
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
            rig.log("%d clients begin to upload %d bytes each", UPLOADS, BODY_BYTES);
            for (int number = 0; number < UPLOADS; number++) {
                final int client = number;
                Rig.thread(() -> upload(client));
            }
        }
        ended.await(60, TimeUnit.SECONDS);
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
                "gateway: runs=%s ready=%s lines that tell of OutOfMemoryError=%d",
                rig.gateways.get(0).process.isAlive(),
                rig.gateways.get(0).isReady(),
                written.split("OutOfMemoryError", -1).length - 1);
        return unanswered.get() >= 8 && unanswered.get() * 4 > late.get();
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

    private void upload(int client) {
        final String attempt = "upload-" + client;
        String outcome;
        try (Rig.Client connection = new Rig.Client(gateway, rig.frontendPort, 1_000)) {
            final StringBuilder head = new StringBuilder("POST /up/x HTTP/1.1\r\n");
            headers(attempt, 15_000).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + BODY_BYTES + "\r\n\r\n");
            connection.out.write(head.toString().getBytes());
            for (int position = 0; position < BODY_BYTES; position += PIECE_BYTES) {
                connection.out.write(new byte[Math.min(PIECE_BYTES, BODY_BYTES - position)]);
                Rig.sleep(PIECE_MILLIS);
            }
            outcome = connection.read(15_500).toString();
            uploadsAnswered.incrementAndGet();
        } catch (java.io.IOException failure) {
            outcome = failure.toString();
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
