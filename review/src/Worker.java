import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A worker with one base model: sends heartbeats, takes orders, reports, and answers requests with
 * streams. Its {@link Behaviour} decides what is faulty.
 */
final class Worker {
    /** What a worker does other than a sound one; the default does nothing. */
    interface Behaviour {
        /** Returns how long an adapter takes to load, in milliseconds. */
        default long loadMillis(String adapter) {
            return 250;
        }

        /** Returns whether a request is shed although there is room. */
        default boolean sheds(String adapter, int refusalsOfIt) {
            return false;
        }

        /** Returns whether a second copy of a refusal follows where the next answer is due. */
        default boolean repeatsRefusal(String adapter, int refusalsOfIt) {
            return false;
        }
    }

    /** A run of a request. */
    record Run(String requestId, double seconds) {}

    static final int EVENTS = 8;
    private static final long EVENT_MILLIS = 60;
    private static final long FIRST_EVENT_MILLIS = 40;

    private final String id;
    private final String service;
    private final String zone;
    private final Record record;
    private final Behaviour behaviour;
    private final ServerSocket server;
    private final String address;
    private final long born = System.currentTimeMillis();
    private final Map<String, Long> readyNanos = new LinkedHashMap<>();
    private final AtomicInteger orders = new AtomicInteger();
    private final AtomicLong beats = new AtomicLong();
    private final Map<String, Integer> refusals = new ConcurrentHashMap<>();
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(500))
                    .build();
    private volatile boolean stopped;

    Worker(
            String id,
            String service,
            String zone,
            String host,
            List<String> controls,
            Record record,
            Behaviour behaviour)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.record = record;
        this.behaviour = behaviour;
        this.server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 100);
        this.address = host + ':' + server.getLocalPort();
        daemon(this::accept);
        daemon(() -> beat(controls));
    }

    List<Run> runs() {
        return runs;
    }

    void stop() throws IOException {
        stopped = true;
        server.close();
    }

    private static void daemon(Runnable task) {
        final Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat(List<String> controls) {
        int next = 0;
        while (!stopped) {
            boolean taken = false;
            for (int tries = 0; tries < controls.size() && !taken && !stopped; tries++) {
                final String control = controls.get(next % controls.size());
                try {
                    taken =
                            client.send(
                                                    HttpRequest.newBuilder(
                                                                    URI.create(
                                                                            "http://" + control
                                                                                    + "/instances/"
                                                                                    + id
                                                                                    + "/heartbeat"))
                                                            .timeout(Duration.ofSeconds(1))
                                                            .header(
                                                                    "Content-Type",
                                                                    "application/json")
                                                            .POST(
                                                                    HttpRequest.BodyPublishers
                                                                            .ofString(heartbeat()))
                                                            .build(),
                                                    HttpResponse.BodyHandlers.ofString())
                                            .statusCode()
                                    == 200;
                } catch (IOException failure) {
                    taken = false;
                } catch (InterruptedException interrupted) {
                    return;
                }
                if (!taken) {
                    next++;
                }
            }
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private String heartbeat() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\""
                + zone + "\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\","
                + "\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":" + models()
                + ",\"sequence\":" + beats.incrementAndGet() + ",\"born\":" + born + "}";
    }

    private synchronized String models() {
        final List<String> held = new ArrayList<>();
        readyNanos.forEach(
                (adapter, ready) -> {
                    if (ready - System.nanoTime() <= 0) {
                        held.add('"' + adapter + "@1\"");
                    }
                });
        return "[{\"name\":\"" + Configurations.MODEL + "\",\"version\":1,\"adapters\":["
                + String.join(",", held) + "]}]";
    }

    private synchronized String pending() {
        final List<String> pending = new ArrayList<>();
        readyNanos.forEach(
                (adapter, ready) -> {
                    if (ready - System.nanoTime() > 0) {
                        pending.add('"' + Configurations.MODEL + '/' + adapter + "@1\"");
                    }
                });
        return '[' + String.join(",", pending) + ']';
    }

    private void accept() {
        while (!stopped) {
            try {
                final Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        final String connection = Integer.toString(socket.getPort());
        try (socket) {
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            final OutputStream out = socket.getOutputStream();
            byte[] due = new byte[0];
            while (true) {
                final Map<String, String> request = read(in);
                if (request == null) {
                    return;
                }
                if (due.length > 0) {
                    record.line(
                            "%s writes a second copy of its refusal on connection %s",
                            id, connection);
                    out.write(due);
                    out.flush();
                    due = new byte[0];
                }
                due = answer(request, connection, in, out);
            }
        } catch (IOException ended) {
            // The caller has left, or the connection is reset.
        }
    }

    /** Answers a request; returns what is written where the next answer is due. */
    private byte[] answer(
            Map<String, String> request, String connection, InputStream in, OutputStream out)
            throws IOException {
        final String target = request.get(":target");
        final String requestId = request.getOrDefault("x-crocushaven-attempt-id", "");
        final String expected = request.get("x-crocushaven-expected-instance");
        if (expected != null && !expected.equals(id)) {
            write(out, 421, "X-Crocushaven-Instance-Id: " + id + "\r\n", requestId, "");
        } else if (target.equals("/order")) {
            write(out, order(request.get(":body")), "", requestId, "{}");
        } else if (target.equals("/report")) {
            write(
                    out,
                    200,
                    "Content-Type: application/json\r\n",
                    requestId,
                    "{\"stage\":\"both\",\"models\":" + models() + ",\"busy\":false,\"sequence\":"
                            + orders.get() + ",\"queued\":0,\"running\":0,\"kvUsed\":0,"
                            + "\"kvTotal\":118708,\"handles\":0,\"pending\":" + pending() + "}");
        } else {
            return serveRequest(request, requestId, connection, in, out);
        }
        return new byte[0];
    }

    private synchronized int order(String body) {
        final String adapter = text(body, "adapter");
        final String operation = text(body, "operation");
        final String expected = text(body, "expected");
        if (!expected.isEmpty() && Integer.parseInt(expected) != orders.get()) {
            return 409;
        }
        if (operation.equals("unload")) {
            orders.incrementAndGet();
            readyNanos.remove(adapter);
            record.line("%s unloads %s", id, adapter);
            return 200;
        }
        if (adapter.isEmpty() || readyNanos.containsKey(adapter)) {
            return 200;
        }
        orders.incrementAndGet();
        readyNanos.put(
                adapter, System.nanoTime() + behaviour.loadMillis(adapter) * 1_000_000);
        record.line("%s is ordered to load %s", id, adapter);
        return 202;
    }

    private synchronized boolean holds(String adapter) {
        return adapter.isEmpty()
                || readyNanos.getOrDefault(adapter, Long.MAX_VALUE) - System.nanoTime() <= 0;
    }

    private byte[] serveRequest(
            Map<String, String> request,
            String requestId,
            String connection,
            InputStream in,
            OutputStream out)
            throws IOException {
        final String model = request.getOrDefault("x-crocushaven-model", "");
        final int slash = model.indexOf('/');
        final String adapter = slash < 0 ? "" : model.substring(slash + 1);
        final int refused = refusals.getOrDefault(adapter, 0);
        final boolean held = holds(adapter);
        if (!held || behaviour.sheds(adapter, refused)) {
            final int status = held ? 503 : 421;
            final byte[] refusal =
                    head(status, "X-Crocushaven-Not-Executed: 1\r\n", requestId, 0)
                            .getBytes(StandardCharsets.US_ASCII);
            record.line(
                    "%s answers %d, not run, to %s on connection %s",
                    id, status, requestId, connection);
            out.write(refusal);
            out.flush();
            refusals.merge(adapter, 1, Integer::sum);
            return held && behaviour.repeatsRefusal(adapter, refused + 1) ? refusal : new byte[0];
        }
        if (model.isEmpty()) {
            runPlain(request, requestId, out);
        } else {
            run(requestId, connection, in, out);
        }
        return new byte[0];
    }

    /** Runs a request without a model, such as a booking. */
    private void runPlain(Map<String, String> request, String requestId, OutputStream out)
            throws IOException {
        runs.add(new Run(requestId, record.seconds()));
        record.line(
                "%s runs %s, tenant: %s",
                id, requestId, request.getOrDefault("x-crocushaven-tenant", "none"));
        sleep(FIRST_EVENT_MILLIS);
        write(out, 200, "X-Crocushaven-Server-Signature: 3e1b." + runs.size() + "\r\n", requestId, "done");
    }

    /** Works on a request: a stream of events. Stops when its connection is closed. */
    private void run(String requestId, String connection, InputStream in, OutputStream out)
            throws IOException {
        sleep(FIRST_EVENT_MILLIS);
        runs.add(new Run(requestId, record.seconds()));
        record.line("%s begins to run %s on connection %s", id, requestId, connection);
        out.write(
                ("HTTP/1.1 200 OK\r\nX-Crocushaven-Attempt-Id: " + requestId
                                + "\r\nX-Crocushaven-Server-Signature: 3e1b." + runs.size()
                                + "\r\nContent-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        for (int event = 1; event <= EVENTS; event++) {
            final String text = "id: " + event + "\ndata: token " + event + "\n\n";
            out.write(
                    (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            sleep(EVENT_MILLIS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
        record.line("%s has run %s to its end on connection %s", id, requestId, connection);
    }

    private static void sleep(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }

    private static void write(
            OutputStream out, int status, String headers, String requestId, String body)
            throws IOException {
        out.write(
                (head(status, headers, requestId, body.length()) + body)
                        .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static String head(int status, String headers, String requestId, int length) {
        return "HTTP/1.1 " + status + " Answer\r\n" + headers
                + (requestId.isEmpty() ? "" : "X-Crocushaven-Attempt-Id: " + requestId + "\r\n")
                + "Keep-Alive: timeout=15\r\nContent-Length: " + length + "\r\n\r\n";
    }

    /** Reads a request with a length; null at the end of the connection. */
    static Map<String, String> read(InputStream in) throws IOException {
        final String first = line(in);
        if (first == null) {
            return null;
        }
        final String[] words = first.split(" ");
        final Map<String, String> request = new TreeMap<>();
        request.put(":method", words[0]);
        request.put(":target", words[1]);
        int length = 0;
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            final int colon = line.indexOf(':');
            final String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            request.put(name, line.substring(colon + 1).trim());
            if (name.equals("content-length")) {
                length = Integer.parseInt(line.substring(colon + 1).trim());
            }
        }
        final byte[] body = in.readNBytes(length);
        request.put(":body", new String(body, StandardCharsets.UTF_8));
        return request;
    }

    private static String line(InputStream in) throws IOException {
        final StringBuilder line = new StringBuilder();
        int read = in.read();
        if (read < 0) {
            return null;
        }
        while (read >= 0 && read != '\n') {
            if (read != '\r') {
                line.append((char) read);
            }
            read = in.read();
        }
        return line.toString();
    }

    /** Returns a field of a flat JSON object as text; empty if it is absent. */
    static String text(String json, String name) {
        final java.util.regex.Matcher found =
                java.util.regex.Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)\"?")
                        .matcher(json);
        return found.find() ? found.group(1) : "";
    }
}
