import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine of the core is replaced as planned; once its successor has had catchUpS, another
 * machine of the core is lost for good and replaced too. What was acknowledged must still be read.
 */
final class ReplacedThenLost {
    private static final long CATCH_UP_MILLIS = 4_000;
    private static final long MARGIN_MILLIS =
            Long.parseLong(System.getenv().getOrDefault("MARGIN_MS", "300"));
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long READING_MILLIS = 8_000;
    private static final long ACK_MILLIS = 4_000;

    private ReplacedThenLost() {}

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
        for (final String name : first) {
            fleet.startControl(name, "zone-" + name.charAt(5), first, true);
        }
        final Operator operator = new Operator(record);
        final List<String> running = new ArrayList<>(first);
        if (!operator.replace(controls(fleet, running), 7, Configurations.of(7, 1), 20_000)) {
            return 2;
        }
        Thread.sleep(4_000);
        if (trouble) {
            final String replaced = fleet.leader();
            fleet.place("core-x-2");
            fleet.startControl("core-x-2", "zone-" + replaced.charAt(5), first, false);
            if (!Fleet.awaitListening(fleet.controlOf("core-x-2"), 10_000)) {
                return 2;
            }
            final double started = record.seconds();
            record.line("core-x-2, the successor of %s, has started", replaced);
            running.add("core-x-2");
            Thread.sleep(1_000);
            fleet.signal(replaced, "TERM");
            running.remove(replaced);
            if (!fleet.awaitEnd(replaced, 8_000)) {
                return 2;
            }
            record.line("%s has ended and does not come back", replaced);
            sleepUntil(record, started + (CATCH_UP_MILLIS + MARGIN_MILLIS) / 1e3);
            record.line("core-x-2 has had %.3f s", record.seconds() - started);
        } else {
            Thread.sleep(CATCH_UP_MILLIS + MARGIN_MILLIS);
        }
        if (!operator.replace(controls(fleet, running), 9, Configurations.of(9, 1), ACK_MILLIS)) {
            return 2;
        }
        if (trouble) {
            final String lost =
                    running.stream().filter(first::contains).findFirst().orElseThrow();
            fleet.signal(lost, "KILL");
            running.remove(lost);
            fleet.awaitEnd(lost, 1_000);
            record.line("%s is gone for good", lost);
            Thread.sleep(1_000);
            fleet.place("core-y-2");
            fleet.startControl("core-y-2", "zone-" + lost.charAt(5), first, false);
            if (!Fleet.awaitListening(fleet.controlOf("core-y-2"), 10_000)) {
                return 2;
            }
            record.line("core-y-2, the successor of %s, has started", lost);
            running.add("core-y-2");
        }
        Thread.sleep(RECOVERY_MILLIS);
        final boolean read = readBack(record, fleet, operator, running);
        final boolean accepted =
                operator.replace(
                        controls(fleet, running), 11, Configurations.of(11, 1), ACK_MILLIS);
        for (final String name : running) {
            record.line("%s runs: %s", name, fleet.isAlive(name));
        }
        fleet.quoteLogs("leader-changed", "leading-started", "voters-changed", "voter-change");
        return read && accepted ? 0 : 1;
    }

    /** Reads at all machines in turn; returns whether one of them answered with version 9. */
    private static boolean readBack(
            Record record, Fleet fleet, Operator operator, List<String> running)
            throws InterruptedException {
        final double end = record.seconds() + READING_MILLIS / 1e3;
        while (record.seconds() < end) {
            for (final String name : running) {
                final long version = operator.describe(fleet.controlOf(name));
                record.line(
                        "read at %s: %s",
                        name, version > 0 ? "version " + version : "status " + -version);
                if (version >= 9) {
                    return true;
                }
            }
            Thread.sleep(400);
        }
        return false;
    }

    private static List<String> controls(Fleet fleet, List<String> names) {
        return names.stream().map(fleet::controlOf).toList();
    }

    private static void sleepUntil(Record record, double seconds) throws InterruptedException {
        while (record.seconds() < seconds) {
            Thread.sleep(10);
        }
    }
}
