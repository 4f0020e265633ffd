import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Workers hold one of two base models each, which do not fit together; two empty workers are added
 * to seven. The heartbeat with which one of them says what it has loaded arrives late.
 */
final class EmptyEngines {
    private static final double MODEL_MB = 34_300;
    private static final double WORKER_MB = 36_000;
    private static final long LOAD_MILLIS = 5_500;
    private static final long LATE_MILLIS = 2_000;
    private static final long WATCHED_MILLIS = 20_000;
    private static final int FIRST_ENGINES = 7;

    private EmptyEngines() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, EmptyEngines::isBroken);
    }

    private static boolean isBroken(Rig rig) throws Exception {
        rig.start(1);
        final List<String> broken = new CopyOnWriteArrayList<>();
        final List<Engine> engines = new ArrayList<>();
        for (int number = 1; number <= FIRST_ENGINES; number++) {
            engines.add(new Engine(rig, "e" + number, broken, 0, number <= 4 ? "m0" : "m1"));
        }
        rig.configure(configuration());
        rig.awaitReady(20_000);
        Rig.sleep(5_000);
        rig.log("two empty workers are added");
        engines.add(new Engine(rig, "e8", broken, 0));
        engines.add(new Engine(rig, "e9", broken, Rig.trouble() ? LATE_MILLIS : 0));
        Rig.sleep(WATCHED_MILLIS);
        for (final Engine engine : engines) {
            rig.log("%s holds %s after %d orders", engine.worker.id, engine.held, engine.orders.get());
        }
        return !broken.isEmpty();
    }

    private static String configuration() {
        final String model =
                "{\"name\":\"%s\",\"weightsMb\":34300.0,\"loadS\":5.5,\"adapters\":100,"
                        + "\"adapterMb\":40.0}";
        return "{\"version\":1,\"routes\":["
                + Configurations.route("chat", "/chat/", "streaming", 15_000, true)
                        .replace("\"plain\"", "\"lm\"")
                + "],\"services\":[{\"name\":\"lm\",\"healthPath\":\"/healthz\","
                + "\"maxConnections\":230,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":32,"
                + "\"kvCapacityTokens\":118708,\"models\":["
                + String.format(model, "m0") + ',' + String.format(model, "m1")
                + "],\"weightsMb\":36000.0,\"adapterSlots\":21,\"loadsPerS\":4.8}}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    /** A model worker that carries out orders as the pages say, and crashes where they say so. */
    private static final class Engine {
        private final Rig rig;
        private final Rig.Worker worker;
        private final List<String> broken;
        private final long lateMillis;
        private final Set<String> held = ConcurrentHashMap.newKeySet();
        private final AtomicInteger orders = new AtomicInteger();
        private String loading = "";

        Engine(Rig rig, String id, List<String> broken, long lateMillis, String... models)
                throws Exception {
            this.rig = rig;
            this.broken = broken;
            this.lateMillis = lateMillis;
            held.addAll(List.of(models));
            worker = rig.new Worker(id, "lm", "zone-a", 32, (w, request, out) -> answer(request, out));
            worker.moreOfBeat = () -> ",\"stage\":\"both\",\"models\":" + models();
        }

        private String models() {
            final List<String> names = new ArrayList<>();
            for (final String name : new TreeSet<>(held)) {
                names.add("{\"name\":\"" + name + "\",\"version\":1,\"adapters\":[]}");
            }
            return "[" + String.join(",", names) + "]";
        }

        private synchronized void answer(Rig.Request request, OutputStream out) throws Exception {
            if (request.target.equals("/report")) {
                respond(request, out, 200,
                        "{\"stage\":\"both\",\"models\":" + models() + ",\"busy\":"
                                + !loading.isEmpty() + ",\"sequence\":" + orders.get()
                                + ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":118708,"
                                + "\"handles\":0,\"pending\":[]}");
            } else if (request.target.equals("/order")) {
                order(request, out);
            } else {
                worker.succeed(out, request, "id: 1\ndata: x\n\n".getBytes());
            }
        }

        private void order(Rig.Request request, OutputStream out) throws Exception {
            final String body = new String(request.body);
            final String model = field(body, "model");
            final String operation = field(body, "operation");
            final String expected = field(body, "expected");
            final int status;
            if (!loading.isEmpty()
                    || !expected.isEmpty() && Integer.parseInt(expected) != orders.get()) {
                status = 409;
            } else if (operation.equals("load") && held.contains(model)) {
                status = 200;
            } else {
                status = 202;
            }
            rig.log("%s gets %s -> %d, holds %s", worker.id, body, status, held);
            if (status == 202) {
                orders.incrementAndGet();
                if (operation.equals("load")) {
                    load(model);
                } else {
                    held.remove(model);
                }
            }
            respond(request, out, status, "{}");
        }

        private void load(String model) {
            final double needed = (held.size() + 1) * MODEL_MB;
            if (needed > WORKER_MB) {
                broken.add(worker.id);
                rig.log(
                        "LIMIT: %s holds %s and is ordered to load %s: %.0f MB of %.0f",
                        worker.id, held, model, needed, WORKER_MB);
                worker.close();
                rig.log("%s crashes", worker.id);
                return;
            }
            loading = model;
            if (lateMillis > 0 && orders.get() == 1) {
                Rig.thread(() -> delayBeats(LOAD_MILLIS - 100, lateMillis));
            }
            Rig.thread(
                    () -> {
                        Rig.sleep(LOAD_MILLIS);
                        synchronized (this) {
                            held.add(model);
                            loading = "";
                        }
                        rig.log("%s has loaded %s", worker.id, model);
                        if (worker.beating) {
                            worker.sendBeat();
                        }
                    });
        }

        /** What the worker says of itself in this time arrives when it is over. */
        private void delayBeats(long afterMillis, long millis) {
            Rig.sleep(afterMillis);
            worker.beating = false;
            Rig.sleep(millis);
            worker.beating = true;
            if (!worker.closed) {
                worker.sendBeat();
                rig.log("%s: its late heartbeat has arrived", worker.id);
            }
        }

        private void respond(Rig.Request request, OutputStream out, int status, String body)
                throws Exception {
            worker.respond(out, request, status, Map.of("Content-Type", "application/json"),
                    body.getBytes());
        }

        private static String field(String body, String name) {
            final Matcher found =
                    Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(body);
            return found.find() ? found.group(1) : "";
        }
    }
}
