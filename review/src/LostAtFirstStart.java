import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * While the whole system starts for the first time, one machine of the core is lost for good and
 * replaced. The others must accept the first configuration, and requests must be served.
 */
final class LostAtFirstStart {
    private static final long CATCH_UP_MILLIS = 4_000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long OPERATOR_MILLIS = 20_000;

    private LostAtFirstStart() {}

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
        final List<String> first = List.of("core-a-1", "core-b-1", "core-c-1");
        first.forEach(fleet::place);
        fleet.place("frontend-b-1");
        for (final String name : first) {
            fleet.startControl(name, "zone-" + name.charAt(5), first, true);
        }
        fleet.startGateway("frontend-b-1", "zone-b", first);
        final List<String> running = new ArrayList<>(first);
        if (!Fleet.awaitListening(fleet.controlOf("core-a-1"), 10_000)) {
            return 2;
        }
        record.line("core-a-1 has started");
        if (trouble) {
            fleet.signal("core-a-1", "KILL");
            running.remove("core-a-1");
            record.line("core-a-1 is gone for good");
            Thread.sleep(1_000);
            fleet.place("core-a-2");
            fleet.startControl("core-a-2", "zone-a", first, false);
            if (!Fleet.awaitListening(fleet.controlOf("core-a-2"), 10_000)) {
                return 2;
            }
            record.line("core-a-2, the successor of core-a-1, has started");
            running.add("core-a-2");
        }
        final List<String> controls = running.stream().map(fleet::controlOf).toList();
        final Worker worker =
                new Worker(
                        "i-0bd818ced3",
                        Configurations.PLAIN_SERVICE,
                        "zone-b",
                        fleet.newAddress(),
                        controls,
                        record,
                        new Worker.Behaviour() {});
        final double startedAll = record.seconds();
        boolean accepted = operatorSends(record, controls, CATCH_UP_MILLIS + RECOVERY_MILLIS);
        record.line("%.3f s after the last start", record.seconds() - startedAll);
        accepted = accepted || operatorSends(record, controls, OPERATOR_MILLIS);
        if (!Fleet.awaitListening(fleet.ingressOf("frontend-b-1"), 10_000)) {
            return 2;
        }
        Thread.sleep(4_000);
        int served = 0;
        for (int number = 1; number <= 5; number++) {
            final String requestId = String.format("9c41d07be2a3%04x", number);
            final Client.Answer answer =
                    Client.book(
                            record,
                            fleet.ingressOf("frontend-b-1"),
                            requestId,
                            Configurations.KEY);
            served += answer.status() == 200 ? 1 : 0;
            Thread.sleep(300);
        }
        for (final String name : running) {
            record.line("%s runs: %s", name, fleet.isAlive(name));
        }
        fleet.quoteLogs("leader-changed", "leading-started", "voters-changed");
        record.line("configuration accepted: %s, served: %d of 5", accepted, served);
        worker.stop();
        return accepted && served > 0 ? 0 : 1;
    }

    private static boolean operatorSends(Record record, List<String> controls, long millis)
            throws InterruptedException {
        return new Operator(record).replace(controls, 7, Configurations.of(7, 1), millis);
    }
}
