import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts the project's programs with the commands of deploy/system.toml, each on its own loopback
 * address, with the bounds of the sheet of dw-ops.
 */
final class Fleet implements AutoCloseable {
    private final Path folder;
    private final Record record;
    private final String prefix;
    private final int innerPort = freePort();
    private final int metricsPort = freePort();
    private final int controlPort = freePort();
    private final int ingressPort = freePort();
    private final int readinessPort = freePort();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private int nextHost = 1;

    Fleet(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("crocushaven-review-");
        final Random random = new Random();
        this.prefix = "127." + (20 + random.nextInt(200)) + '.' + (1 + random.nextInt(250)) + '.';
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    Path folder() {
        return folder;
    }

    /** Returns an address that no machine has had yet. */
    String newAddress() {
        return prefix + nextHost++;
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    String addressOf(String name) {
        return addresses.get(name);
    }

    String controlOf(String name) {
        return addresses.get(name) + ':' + controlPort;
    }

    String ingressOf(String name) {
        return addresses.get(name) + ':' + ingressPort;
    }

    String readinessOf(String name) {
        return addresses.get(name) + ':' + readinessPort;
    }

    void place(String name) {
        addresses.put(name, newAddress());
    }

    void startControl(String name, String zone, List<String> seeds, boolean bootstrap)
            throws IOException {
        final Path data = folder.resolve(name);
        Files.createDirectories(data);
        start(
                name,
                "control",
                common(name, zone, "control", seeds)
                        + "control = \"" + controlOf(name) + "\"\n"
                        + "data_folder = \"" + data.resolve("state") + "\"\n"
                        + "bootstrap = " + bootstrap + "\n"
                        + "tolerated_instances = 1\n"
                        + "engines_check_fences = true\n"
                        + "order_lease_millis = 3000\n"
                        + "stop_grace_seconds = 8\n"
                        + "rate_slack = 17000\n");
    }

    void startGateway(String name, String zone, List<String> seeds) throws IOException {
        start(
                name,
                "gateway",
                common(name, zone, "gateway", seeds)
                        + "ingress = \"" + ingressOf(name) + "\"\n"
                        + "readiness = \"" + readinessOf(name) + "\"\n"
                        + "key_withdrawal_millis = 5000\n"
                        + "stop_grace_seconds = 8\n"
                        + "retry_ratio = 0.2\n"
                        + "retry_extra = 54\n");
    }

    private String common(String name, String zone, String role, List<String> seeds) {
        final List<String> quoted = new ArrayList<>();
        seeds.forEach(seed -> quoted.add('"' + controlOf(seed) + '"'));
        return "instance = \"" + name + "\"\n"
                + "failure_domain = \"" + zone + "\"\n"
                + "role = \"" + role + "\"\n"
                + "host = \"" + addresses.get(name) + "\"\n"
                + "inner_port = " + innerPort + "\n"
                + "metrics_port = " + metricsPort + "\n"
                + "seeds = [" + String.join(",", quoted) + "]\n"
                + "heartbeat_millis = 1200\n";
    }

    private void start(String name, String role, String settings) throws IOException {
        final Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings);
        final ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.environment().put("CROCUSHAVEN_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
        record.line("%s starts (%s)", name, role);
    }

    /** Returns the words of a role's command in the deploy file. */
    private static List<String> command(String role) throws IOException {
        final String text = Files.readString(Path.of("deploy/system.toml"));
        final Matcher found =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(text);
        if (!found.find()) {
            throw new IOException("no command of " + role);
        }
        return List.of(found.group(1).split(" "));
    }

    /** Waits until an address takes connections; returns whether it does. */
    static boolean awaitListening(String address, long millis) throws InterruptedException {
        final int colon = address.lastIndexOf(':');
        final InetSocketAddress target =
                new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        final long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() - end < 0) {
            try (Socket socket = new Socket()) {
                socket.connect(target, 200);
                return true;
            } catch (IOException closed) {
                Thread.sleep(20);
            }
        }
        return false;
    }

    /** Sends a signal by the process's id. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        record.line("%s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    boolean awaitEnd(String name, long millis) throws InterruptedException {
        return processes.get(name).waitFor(millis, TimeUnit.MILLISECONDS);
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** Returns the control instance that began to lead last, by the logs. */
    String leader() throws IOException {
        String leader = "";
        long highest = -1;
        final Pattern started = Pattern.compile("event=leading-started epoch=(\\d+)");
        for (final String name : processes.keySet()) {
            if (!isAlive(name)) {
                continue;
            }
            final Matcher found = started.matcher(logOf(name));
            while (found.find()) {
                if (Long.parseLong(found.group(1)) > highest) {
                    highest = Long.parseLong(found.group(1));
                    leader = name;
                }
            }
        }
        return leader;
    }

    String logOf(String name) throws IOException {
        final Path file = folder.resolve(name + ".log");
        return Files.exists(file) ? Files.readString(file) : "";
    }

    /** Copies the lines of the logs that hold any of the texts into the record. */
    void quoteLogs(String... texts) throws IOException {
        for (final String name : processes.keySet()) {
            for (final String line : logOf(name).split("\n")) {
                for (final String text : texts) {
                    if (line.contains(text)) {
                        record.line("log of %s: %s", name, line);
                        break;
                    }
                }
            }
        }
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (final Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            record.line("logs are kept in the temporary folder");
            System.out.println(folder);
            return;
        }
        try (var paths = Files.walk(folder)) {
            for (final Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
