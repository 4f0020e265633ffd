import java.io.IOException;
import java.util.Map;

/**
 * Clients ask with HEAD on kept connections and go on with GET; then the keys of one tenant are
 * taken away.
 */
final class HeadRefused {
    private static final int CLIENTS = 6;
    private static final int REQUESTS = 40;
    private static final long PAUSE_MILLIS = 100;

    private HeadRefused() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, HeadRefused::isBroken);
    }

    private static boolean isBroken(Rig rig) throws Exception {
        rig.start(1);
        for (int number = 1; number <= 2; number++) {
            rig.new Worker(
                    "w" + number,
                    "plain",
                    "zone-a",
                    20,
                    (worker, request, out) ->
                            worker.succeed(out, request, ("of " + request.attempt()).getBytes()));
        }
        rig.configure(configuration(1, true));
        rig.awaitReady(20_000);
        Rig.sleep(2_500);
        final int[] wrong = new int[1];
        final int[] right = new int[1];
        final Thread[] clients = new Thread[CLIENTS];
        for (int number = 0; number < CLIENTS; number++) {
            final int client = number;
            clients[number] = Rig.thread(() -> ask(rig, client, right, wrong));
        }
        Rig.sleep(1_500);
        if (Rig.trouble()) {
            rig.log("operator: takes the keys of tenant t1 away");
            rig.configure(configuration(2, false));
        }
        for (final Thread client : clients) {
            client.join(60_000);
        }
        rig.log("answers as the protocol says: %d; bytes that are no answer: %d", right[0], wrong[0]);
        return wrong[0] > 0;
    }

    private static String configuration(int version, boolean hasKey) {
        return Configurations.of(
                version,
                Configurations.route("keyed", "/keyed/", "idempotent", 5_000, false)
                        + ","
                        + Configurations.route("open", "/open/", "idempotent", 5_000, true),
                Configurations.tenant("t1", hasKey ? "\"key-of-t1\"" : "")
                        + ","
                        + Configurations.tenant("t2", "\"key-of-t2\""));
    }

    /** Sends HEAD with the key of t1 and GET on an open route by turns, on one connection. */
    private static void ask(Rig rig, int client, int[] right, int[] wrong) {
        Rig.Client connection = null;
        for (int number = 0; number < REQUESTS; number++) {
            final boolean isHead = number % 2 == 0;
            final String attempt = "c" + client + "-" + number;
            final String method = isHead ? "HEAD" : "GET";
            try {
                if (connection == null) {
                    connection =
                            new Rig.Client(rig.gateways.get(0).host, rig.frontendPort, 1_000);
                }
                connection.send(
                        method,
                        isHead ? "/keyed/x" : "/open/x",
                        Map.of(
                                "Host", "a.example",
                                Rig.ATTEMPT, attempt,
                                "X-Crocushaven-Deadline-Ms", "3000",
                                "Authorization", "Bearer key-of-t1"),
                        new byte[0]);
                final Rig.Answer answer = connection.read(3_500, isHead);
                rig.log("%s %s: %s", attempt, method, answer);
                synchronized (right) {
                    right[0]++;
                }
                if (!answer.keepsOpen()) {
                    connection.close();
                    connection = null;
                }
            } catch (Rig.NoAnswer noAnswer) {
                rig.log(
                        "%s %s: BYTES THAT ARE NO ANSWER: %s",
                        attempt, method, noAnswer.getMessage());
                synchronized (right) {
                    wrong[0]++;
                }
                connection.close();
                connection = null;
            } catch (IOException failure) {
                rig.log("%s %s: %s", attempt, method, failure);
                if (connection != null) {
                    connection.close();
                    connection = null;
                }
            }
            Rig.sleep(PAUSE_MILLIS);
        }
        if (connection != null) {
            connection.close();
        }
    }
}
