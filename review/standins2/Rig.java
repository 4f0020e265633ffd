import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Runs the project's programs with the commands and templates of the deploy file, each on a loopback
 * address of its own, with stand-ins of workers, operator and clients in this process.
 *
 * <p>Everything is started in the repository root, which is the working folder.
 */
final class Rig implements AutoCloseable {
    static final String SIGNATURE = "X-Crocushaven-Server-Signature";
    static final String ATTEMPT = "X-Crocushaven-Attempt-Id";
    static final String NOT_EXECUTED = "X-Crocushaven-Not-Executed";
    private static final long BEGIN_NANOS = System.nanoTime();

    final Path folder;
    final Path temporary;
    final int innerPort;
    final int metricsPort;
    final int frontendPort;
    final int readinessPort;
    final int controlPort;
    final Map<String, Object> bounds = new TreeMap<>();
    final List<Instance> controls = new ArrayList<>();
    final List<Instance> gateways = new ArrayList<>();
    final List<AutoCloseable> standIns = new CopyOnWriteArrayList<>();
    private final Path record;
    private final String network;
    private final Map<String, String> commands = new LinkedHashMap<>();
    private final Map<String, String> templates = new LinkedHashMap<>();
    private int hosts;

    Rig(Path folder) throws IOException {
        this.folder = folder;
        this.temporary = Files.createTempDirectory("review-2-");
        this.record = folder.resolve("record.txt");
        Files.writeString(record, "");
        final Random random = new Random();
        this.network =
                "127." + (20 + random.nextInt(200)) + '.' + (1 + random.nextInt(250)) + '.';
        final int[] ports = freePorts(6);
        innerPort = ports[0];
        metricsPort = ports[1];
        frontendPort = ports[2];
        readinessPort = ports[3];
        controlPort = ports[4];
        bounds.put("fencingEnforced", true);
        bounds.put("leaseMs", 3000);
        bounds.put("graceS", 8);
        bounds.put("quotaSlack", 17000);
        bounds.put("revokeMs", 5000);
        bounds.put("retryBudgetRatio", 0.2);
        bounds.put("retryBudgetExtra", 54);
        readDeployFile();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Writes a line to the record, with the time since the start. */
    synchronized void log(String format, Object... values) {
        final String line =
                String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - BEGIN_NANOS) / 1e9)
                        + String.format(Locale.ROOT, format, values)
                        + "\n";
        try {
            Files.writeString(record, line, StandardOpenOption.APPEND);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        System.out.print(line);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    String newHost() {
        return network + (++hosts);
    }

    /** Starts three control instances and some gateways, and waits until the control answers. */
    void start(int gatewayCount) throws Exception {
        for (int number = 0; number < 3; number++) {
            controls.add(new Instance("control", newHost(), "zone-" + "abc".charAt(number)));
        }
        for (int number = 0; number < gatewayCount; number++) {
            gateways.add(new Instance("gateway", newHost(), "zone-" + "abc".charAt(number % 3)));
        }
        for (final Instance instance : controls) {
            instance.start(true);
        }
        for (final Instance instance : gateways) {
            instance.start(true);
        }
    }

    /** Sends a configuration until it is acknowledged. */
    void configure(String json) throws Exception {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        String last = "";
        for (int number = 0; System.nanoTime() < end; number++) {
            final Answer answer =
                    tryCall(
                            controls.get(number % controls.size()).host,
                            controlPort,
                            "POST",
                            "/configuration/replace",
                            json,
                            2_000);
            if (answer != null && answer.status == 200) {
                log("operator: configuration acknowledged");
                return;
            }
            last = answer == null ? "no answer" : answer.toString();
            Thread.sleep(200);
        }
        throw new CannotRun("configuration not acknowledged: " + last);
    }

    /** Waits until all gateways say that they are ready. */
    void awaitReady(long millis) throws Exception {
        final long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (final Instance gateway : gateways) {
            while (!gateway.isReady()) {
                if (System.nanoTime() > end) {
                    throw new CannotRun(gateway.host + " is not ready");
                }
                Thread.sleep(100);
            }
        }
    }

    static Answer tryCall(
            String host, int port, String method, String path, String body, int timeoutMillis) {
        try (Client client = new Client(host, port, timeoutMillis)) {
            client.send(
                    method,
                    path,
                    Map.of("Host", host, "Content-Type", "application/json"),
                    body.getBytes(StandardCharsets.UTF_8));
            return client.read(timeoutMillis);
        } catch (IOException failure) {
            return null;
        }
    }

    @Override
    public void close() {
        killAll();
    }

    private void killAll() {
        for (final AutoCloseable standIn : standIns) {
            try {
                standIn.close();
            } catch (Exception ignored) {
                // It ends with this process.
            }
        }
        for (final List<Instance> instances : List.of(gateways, controls)) {
            for (final Instance instance : instances) {
                if (instance.process != null) {
                    instance.process.destroyForcibly();
                }
            }
        }
        for (final List<Instance> instances : List.of(gateways, controls)) {
            for (final Instance instance : instances) {
                if (instance.process != null) {
                    try {
                        instance.process.waitFor(5, TimeUnit.SECONDS);
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
        }
        try (var files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // Nothing is left that would matter.
        }
    }

    private void readDeployFile() throws IOException {
        String role = "";
        for (final String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            final Matcher section = Pattern.compile("\\[roles\\.([a-z]+)]").matcher(line);
            final Matcher value = Pattern.compile("(run|template) = \"(.*)\"").matcher(line);
            if (section.matches()) {
                role = section.group(1);
            } else if (value.matches() && value.group(1).equals("run")) {
                commands.put(role, value.group(2));
            } else if (value.matches()) {
                templates.put(role, Files.readString(Path.of(value.group(2))));
            }
        }
    }

    private static int[] freePorts(int count) throws IOException {
        final List<ServerSocket> sockets = new ArrayList<>();
        final int[] ports = new int[count];
        for (int number = 0; number < count; number++) {
            final ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            ports[number] = socket.getLocalPort();
        }
        for (final ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** A case that could not run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String message) {
            super(message);
        }
    }

    /** One process of the project. */
    final class Instance {
        final String role;
        final String host;
        final String zone;
        final Path output;
        Process process;

        Instance(String role, String host, String zone) {
            this.role = role;
            this.host = host;
            this.zone = zone;
            this.output = temporary.resolve(role + '-' + host + ".log");
        }

        void start(boolean bootstrap) throws IOException {
            final Path settings = temporary.resolve(role + '-' + host + ".toml");
            Files.writeString(settings, Template.fill(templates.get(role), fields(bootstrap)));
            final ProcessBuilder builder =
                    new ProcessBuilder(List.of(commands.get(role).trim().split(" +")));
            builder.environment().put("CROCUSHAVEN_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
        }

        boolean isReady() {
            final Answer answer = tryCall(host, readinessPort, "GET", "/readyz", "", 1_000);
            return answer != null && answer.status == 200;
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Copies what the process has written to the folder of the case. */
        void keepOutput(Path file) throws IOException {
            Files.copy(output, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        String written() throws IOException {
            return Files.readString(output, StandardCharsets.ISO_8859_1);
        }

        private Map<String, Object> fields(boolean bootstrap) {
            final Map<String, Object> fields = new LinkedHashMap<>();
            final boolean isGateway = role.equals("gateway");
            fields.put("nodeName", role + '-' + host);
            fields.put("role", role);
            fields.put("ip", host);
            fields.put("zone", zone);
            fields.put("region", "region-1");
            fields.put("internalPorts", List.of(innerPort, metricsPort));
            final List<Object> seeds = new ArrayList<>();
            controls.forEach(control -> seeds.add(control.host + ':' + controlPort));
            fields.put("seeds", seeds);
            fields.put("bootstrap", bootstrap);
            fields.put("heartbeatMs", 1200);
            final Map<String, Object> zones = new LinkedHashMap<>();
            for (final String name : List.of("zone-a", "zone-b", "zone-c")) {
                zones.put(name, "region-1");
            }
            fields.put("zones", zones);
            fields.put("faultTolerance", Map.of("machines", 1, "zones", 1, "regions", 0));
            fields.put("bounds", bounds);
            fields.put(
                    "listen",
                    isGateway
                            ? Map.of(
                                    "frontend",
                                    host + ':' + frontendPort,
                                    "readiness",
                                    host + ':' + readinessPort)
                            : Map.of("controlPlane", host + ':' + controlPort));
            if (!isGateway) {
                fields.put("dataDir", temporary.resolve("data-" + host).toString());
            }
            return fields;
        }
    }

    /** Fills in the templates of settings, as the page on deployment describes. */
    static final class Template {
        private static final Pattern TAG = Pattern.compile("\\{\\{([#^/]?)([^}]*)}}");

        private Template() {}

        static String fill(String text, Map<String, Object> fields) {
            return fill(text, fields, fields, "", true);
        }

        @SuppressWarnings("unchecked")
        private static String fill(
                String text, Object current, Map<String, Object> root, String key, boolean last) {
            final StringBuilder filled = new StringBuilder();
            int position = 0;
            final Matcher tag = TAG.matcher(text);
            while (tag.find(position)) {
                filled.append(text, position, tag.start());
                final String kind = tag.group(1);
                final String name = tag.group(2);
                position = tag.end();
                if (kind.isEmpty()) {
                    filled.append(value(name, current, root, key, last));
                    continue;
                }
                final String close = "{{/" + name + "}}";
                final int end = text.indexOf(close, position);
                final String inner = text.substring(position, end);
                position = end + close.length();
                final Object found = find(name, current, root);
                final boolean present = found != null && !Boolean.FALSE.equals(found);
                if (kind.equals("^")) {
                    filled.append(present ? "" : fill(inner, current, root, key, last));
                } else if (found instanceof List<?> list) {
                    for (int index = 0; index < list.size(); index++) {
                        filled.append(
                                fill(
                                        inner,
                                        list.get(index),
                                        root,
                                        Integer.toString(index),
                                        index == list.size() - 1));
                    }
                } else if (found instanceof Map<?, ?> map) {
                    int index = 0;
                    for (final Map.Entry<String, Object> entry :
                            ((Map<String, Object>) map).entrySet()) {
                        index++;
                        filled.append(
                                fill(
                                        inner,
                                        entry.getValue(),
                                        root,
                                        entry.getKey(),
                                        index == map.size()));
                    }
                } else if (present) {
                    filled.append(fill(inner, current, root, key, last));
                }
            }
            return filled.append(text.substring(position)).toString();
        }

        private static String value(
                String name, Object current, Map<String, Object> root, String key, boolean last) {
            if (name.equals("@")) {
                return key;
            }
            if (name.equals(",")) {
                return last ? "" : ",";
            }
            final boolean asJson = name.endsWith("|json");
            final String path = asJson ? name.substring(0, name.length() - 5) : name;
            final Object found = path.equals(".") ? current : find(path, current, root);
            return asJson || found instanceof Map ? json(found) : text(found);
        }

        private static Object find(String path, Object current, Map<String, Object> root) {
            final Object inCurrent = walk(path, current);
            return inCurrent != null ? inCurrent : walk(path, root);
        }

        private static Object walk(String path, Object from) {
            Object found = from;
            for (final String part : path.split("\\.")) {
                if (found instanceof Map<?, ?> map) {
                    found = map.get(part);
                } else if (found instanceof List<?> list) {
                    found = list.get(Integer.parseInt(part));
                } else {
                    return null;
                }
            }
            return found;
        }

        private static String text(Object value) {
            if (value == null) {
                return "";
            }
            if (value instanceof List<?> list) {
                return String.join(",", list.stream().map(Object::toString).toList());
            }
            return value.toString();
        }

        private static String json(Object value) {
            if (value instanceof List<?> list) {
                return "[" + String.join(",", list.stream().map(Template::json).toList()) + "]";
            }
            if (value instanceof Map<?, ?> map) {
                final List<String> parts = new ArrayList<>();
                map.forEach((name, inner) -> parts.add(json(name.toString()) + ":" + json(inner)));
                return "{" + String.join(",", parts) + "}";
            }
            return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
        }
    }

    /** An answer as a client reads it. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        /** Whether the answer ended as its head said. */
        boolean complete;

        boolean keepsOpen() {
            return complete && !"close".equalsIgnoreCase(headers.getOrDefault("Connection", ""));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        @Override
        public String toString() {
            return status
                    + (complete ? "" : " incomplete")
                    + " signature="
                    + headers.getOrDefault(SIGNATURE, "-")
                    + " attempt="
                    + headers.getOrDefault(ATTEMPT, "-")
                    + " body="
                    + body.length
                    + " bytes "
                    + (body.length <= 120 ? text().trim() : "");
        }
    }

    /** Bytes that are no answer, where one is due. */
    static final class NoAnswer extends IOException {
        private static final long serialVersionUID = 1;

        NoAnswer(String message) {
            super(message);
        }
    }

    /** One connection of a client, for one request at a time. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(String host, int port, int connectMillis) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), connectMillis);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String method, String path, Map<String, String> headers, byte[] body)
                throws IOException {
            final StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: " + body.length + "\r\n");
            }
            head.append("\r\n");
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            out.write(bytes.toByteArray());
            out.flush();
        }

        Answer read(int timeoutMillis) throws IOException {
            return read(timeoutMillis, false);
        }

        /**
         * Reads the next answer.
         *
         * @param toHead whether it answers a HEAD request, so that it has no body whatever it says
         */
        Answer read(int timeoutMillis, boolean toHead) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            final Answer answer = new Answer();
            final String line = line();
            if (!line.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
                throw new NoAnswer(line);
            }
            answer.status = Integer.parseInt(line.substring(9, 12));
            for (String header = line(); !header.isEmpty(); header = line()) {
                final int colon = header.indexOf(':');
                answer.headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
            }
            if (toHead || answer.status == 204 || answer.status == 304) {
                answer.complete = true;
                return answer;
            }
            final ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                if ("chunked".equalsIgnoreCase(answer.headers.get("Transfer-Encoding"))) {
                    readChunks(body);
                    answer.complete = true;
                } else if (answer.headers.containsKey("Content-Length")) {
                    copy(body, Integer.parseInt(answer.headers.get("Content-Length")));
                    answer.complete = true;
                } else {
                    in.transferTo(body);
                    answer.complete = true;
                }
            } catch (IOException broken) {
                answer.complete = false;
            }
            answer.body = body.toByteArray();
            return answer;
        }

        private void readChunks(ByteArrayOutputStream body) throws IOException {
            while (true) {
                final int size = Integer.parseInt(line().split(";")[0].trim(), 16);
                copy(body, size);
                line();
                if (size == 0) {
                    return;
                }
            }
        }

        private void copy(ByteArrayOutputStream body, int size) throws IOException {
            final byte[] buffer = new byte[16 << 10];
            int left = size;
            while (left > 0) {
                final int read = in.read(buffer, 0, Math.min(left, buffer.length));
                if (read < 0) {
                    throw new EOFException();
                }
                body.write(buffer, 0, read);
                left -= read;
            }
        }

        String line() throws IOException {
            return Rig.line(in);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed all the same.
            }
        }
    }

    static String line(InputStream in) throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int read = in.read();
        while (read != '\n') {
            if (read < 0) {
                throw new EOFException("connection ended");
            }
            bytes.write(read);
            read = in.read();
        }
        final String line = bytes.toString(StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    /** A request as a worker reads it. */
    static final class Request {
        String method = "";
        String target = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String attempt() {
            return headers.getOrDefault(ATTEMPT, "");
        }
    }

    /** What a worker does with a request, once it has read it. */
    interface Work {
        void answer(Worker worker, Request request, OutputStream out) throws Exception;
    }

    /** A sound worker of a service without an engine, which sends heartbeats. */
    final class Worker implements AutoCloseable {
        final String id;
        final String service;
        final String zone;
        final String host;
        final int slots;
        final long born = System.currentTimeMillis();
        final Map<String, Integer> runs = new ConcurrentHashMap<>();
        final AtomicInteger running = new AtomicInteger();
        volatile Work work;
        volatile String state = "ready";
        volatile boolean beating = true;
        volatile boolean closed;
        /** Further fields of the heartbeat, each after a comma. */
        volatile java.util.function.Supplier<String> moreOfBeat = () -> "";
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final ServerSocket server;
        private int sequence;
        private int nextControl;

        Worker(String id, String service, String zone, int slots, Work work) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.work = work;
            this.host = newHost();
            this.server = new ServerSocket(0, 512, InetAddress.getByName(host));
            standIns.add(this);
            thread(this::accept);
            thread(this::beat);
        }

        String address() {
            return host + ':' + server.getLocalPort();
        }

        private void accept() {
            while (!closed) {
                try {
                    final Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    thread(() -> serve(socket));
                } catch (IOException failure) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                final InputStream in = new BufferedInputStream(socket.getInputStream());
                final OutputStream out = socket.getOutputStream();
                while (!closed) {
                    final Request request = readRequest(in);
                    if (!id.equals(request.headers.getOrDefault("X-Crocushaven-Expected-Instance", id))) {
                        respond(out, request, 421, Map.of(NOT_EXECUTED, "1"), new byte[0]);
                        continue;
                    }
                    runs.merge(request.attempt(), 1, Integer::sum);
                    running.incrementAndGet();
                    try {
                        work.answer(this, request, out);
                    } finally {
                        running.decrementAndGet();
                    }
                }
            } catch (Exception ended) {
                // The caller has closed the connection.
            } finally {
                sockets.remove(socket);
            }
        }

        private Request readRequest(InputStream in) throws IOException {
            final Request request = new Request();
            final String[] first = line(in).split(" ");
            request.method = first[0];
            request.target = first[1];
            for (String header = line(in); !header.isEmpty(); header = line(in)) {
                final int colon = header.indexOf(':');
                request.headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
            }
            request.body =
                    in.readNBytes(
                            Integer.parseInt(request.headers.getOrDefault("Content-Length", "0")));
            return request;
        }

        void respond(
                OutputStream out,
                Request request,
                int status,
                Map<String, String> headers,
                byte[] body)
                throws IOException {
            final StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            head.append(ATTEMPT + ": " + request.attempt() + "\r\n");
            head.append("Keep-Alive: timeout=20\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + body.length + "\r\n\r\n");
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (!request.method.equals("HEAD")) {
                bytes.write(body);
            }
            out.write(bytes.toByteArray());
            out.flush();
        }

        /** Answers with success and a signature that names the worker and the request. */
        void succeed(OutputStream out, Request request, byte[] body) throws IOException {
            respond(out, request, 200, Map.of(SIGNATURE, id + '.' + request.attempt()), body);
        }

        String beatBody() {
            return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\""
                    + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                    + "\",\"coldRemainingMs\":0,\"born\":" + born + ",\"sequence\":"
                    + (++sequence) + moreOfBeat.get() + "}";
        }

        private void beat() {
            while (!closed) {
                if (beating) {
                    sendBeat();
                }
                sleep(1_200);
            }
        }

        /** Sends one heartbeat, to the next daemon where one does not acknowledge it. */
        synchronized void sendBeat() {
            for (int tries = 0; tries < 3; tries++) {
                final Answer answer =
                        tryCall(
                                controls.get(nextControl % controls.size()).host,
                                controlPort,
                                "POST",
                                "/instances/" + id + "/heartbeat",
                                beatBody(),
                                1_000);
                if (answer != null && answer.status / 100 == 2) {
                    return;
                }
                nextControl++;
            }
        }

        /** Ends as a crash does: the address refuses connections, and those that are open reset. */
        @Override
        public void close() {
            closed = true;
            try {
                server.close();
                for (final Socket socket : sockets) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            } catch (IOException ignored) {
                // It ends with this process.
            }
        }
    }

    static Thread thread(Runnable task) {
        final Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** What a case does; returns whether the rule was broken. */
    interface Scenario {
        boolean isBroken(Rig rig) throws Exception;
    }

    /** Runs a case and ends the process with 1 if the rule was broken, 0 if it held, else 2. */
    static void run(String[] arguments, Scenario scenario) {
        int status = 2;
        Rig rig = null;
        try {
            rig = new Rig(Path.of(arguments[0]));
            rig.log("trouble: %s", trouble());
            status = scenario.isBroken(rig) ? 1 : 0;
            rig.log(status == 1 ? "the rule was BROKEN" : "the rule held");
        } catch (Throwable failure) {
            if (rig != null) {
                rig.log("the case could not run: %s", failure);
            }
            failure.printStackTrace();
        } finally {
            if (rig != null) {
                rig.close();
            }
        }
        Runtime.getRuntime().halt(status);
    }
}
