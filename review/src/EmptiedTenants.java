import java.nio.file.Path;
import java.util.List;

/**
 * The only tenant is taken out of the configuration, so that no key is left. Later than revokeMs,
 * requests are sent with its key, with a key that was never held, and with none; none may run.
 */
final class EmptiedTenants {
    private static final long REVOKE_MILLIS = 5_000;
    private static final long MARGIN_MILLIS = 1_500;
    private static final String UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz";

    private EmptiedTenants() {}

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
        final String gateway = fleet.ingressOf("frontend-a-1");
        final Worker worker =
                new Worker(
                        "i-0bd818ced3",
                        Configurations.PLAIN_SERVICE,
                        "zone-a",
                        fleet.newAddress(),
                        controls,
                        record,
                        new Worker.Behaviour() {});
        final Operator operator = new Operator(record);
        if (!operator.replace(controls, 7, Configurations.of(7, 1), 20_000)
                || !Fleet.awaitListening(gateway, 10_000)) {
            return 2;
        }
        Thread.sleep(5_000);
        if (Client.book(record, gateway, "9c41d07be2a30001", Configurations.KEY).status() != 200
                || Client.book(record, gateway, "9c41d07be2a30002", UNKNOWN_KEY).status() != 401) {
            return 2;
        }
        final String next =
                trouble ? Configurations.of(9, 1, "") : Configurations.of(9, 1);
        if (!operator.replace(controls, 9, next, 4_000)) {
            return 2;
        }
        final double acknowledged = record.seconds();
        Thread.sleep(REVOKE_MILLIS + MARGIN_MILLIS);
        record.line("%.3f s after the acknowledgement", record.seconds() - acknowledged);
        Client.book(record, gateway, "9c41d07be2a30003", Configurations.KEY);
        Client.book(record, gateway, "9c41d07be2a30004", UNKNOWN_KEY);
        Client.book(record, gateway, "9c41d07be2a30005", "");
        Thread.sleep(500);
        final List<String> ran = worker.runs().stream().map(Worker.Run::requestId).toList();
        final List<String> wrong =
                ran.stream()
                        .filter(id -> id.endsWith("4") || id.endsWith("5"))
                        .toList();
        final boolean revokedRan = trouble && ran.contains("9c41d07be2a30003");
        record.line("ran with the key that was taken away: %s", revokedRan);
        record.line("ran with a key that was never held, or with none: %s", wrong);
        worker.stop();
        return revokedRan || !wrong.isEmpty() ? 1 : 0;
    }
}
