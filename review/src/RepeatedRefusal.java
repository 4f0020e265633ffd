import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One of two workers sheds a request for an adapter that it has just loaded, and writes a second
 * copy of that answer where the next one is due. The request may not be repeated; it must run once.
 */
final class RepeatedRefusal {
    /** The second copy is one in 40 answers to clients' requests, under x = 0.03 of the sheet. */
    private static final int REQUESTS = 40;

    private static final int FAULTY = 20;
    private static final String SHED_ADAPTER = "a77";

    private RepeatedRefusal() {}

    public static void main(String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Fleet fleet = new Fleet(record)) {
            result = run(record, fleet, trouble);
            record.line("exit %d", result);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
        final List<String> cores = List.of("core-a-1", "core-b-1", "core-c-1");
        cores.forEach(fleet::place);
        fleet.place("frontend-a-1");
        for (final String name : cores) {
            fleet.startControl(name, "zone-" + name.charAt(5), cores, true);
        }
        fleet.startGateway("frontend-a-1", "zone-a", cores);
        final List<String> controls = cores.stream().map(fleet::controlOf).toList();
        final Faults faults = new Faults(trouble);
        final List<Worker> workers = new ArrayList<>();
        for (final String id : List.of("i-7f3a91c2", "i-02d9e6b4")) {
            workers.add(
                    new Worker(
                            id,
                            Configurations.ENGINE_SERVICE,
                            "zone-a",
                            fleet.newAddress(),
                            controls,
                            record,
                            faults));
        }
        final Operator operator = new Operator(record);
        if (!operator.replace(controls, 7, Configurations.of(7, 2), 20_000)
                || !Fleet.awaitListening(fleet.ingressOf("frontend-a-1"), 10_000)) {
            return 2;
        }
        Thread.sleep(5_000);
        int served = 0;
        for (int number = 1; number <= REQUESTS; number++) {
            final String requestId = String.format("9c41d07be2a3%04x", number);
            final String adapter = number == FAULTY ? SHED_ADAPTER : "a" + number % 4;
            final Client.Answer answer =
                    Client.send(
                            record, fleet.ingressOf("frontend-a-1"), requestId, adapter, 8_000);
            served += answer.status() == 200 && answer.whole() ? 1 : 0;
            Thread.sleep(150);
        }
        final Map<String, Integer> runs = new TreeMap<>();
        for (final Worker worker : workers) {
            worker.runs().forEach(run -> runs.merge(run.requestId(), 1, Integer::sum));
            worker.stop();
        }
        final List<String> twice = new ArrayList<>();
        runs.forEach(
                (request, count) -> {
                    if (count > 1) {
                        twice.add(request + " ran " + count + " times");
                    }
                });
        fleet.quoteLogs("fault", "not run");
        record.line("served whole: %d of %d; run more than once: %s", served, REQUESTS, twice);
        return served == 0 ? 2 : twice.isEmpty() ? 0 : 1;
    }

    /** One request is shed once, also without the trouble; with it, that answer comes twice. */
    private static final class Faults implements Worker.Behaviour {
        private final boolean trouble;

        private Faults(boolean trouble) {
            this.trouble = trouble;
        }

        @Override
        public boolean sheds(String adapter, int refusalsOfIt) {
            return adapter.equals(SHED_ADAPTER) && refusalsOfIt == 0;
        }

        @Override
        public boolean repeatsRefusal(String adapter, int refusalsOfIt) {
            return trouble && adapter.equals(SHED_ADAPTER) && refusalsOfIt == 1;
        }
    }
}
