import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Calls control instances as the operator does: one after the other, until one answers clearly. */
final class Operator {
    private static final Pattern VERSION = Pattern.compile("\"version\"\\s*:\\s*(\\d+)");

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(500))
                    .build();
    private final Record record;
    private int next;

    Operator(Record record) {
        this.record = record;
    }

    /** Sends a configuration until it is acknowledged; returns whether it was, in time. */
    boolean replace(List<String> addresses, long version, String document, long millis)
            throws InterruptedException {
        final double sent = record.seconds();
        final long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        String last = "no answer";
        while (System.nanoTime() - end < 0) {
            final String address = addresses.get(next++ % addresses.size());
            try {
                final HttpResponse<String> answer =
                        client.send(
                                request(address, "/configuration/replace")
                                        .POST(HttpRequest.BodyPublishers.ofString(document))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                last = answer.statusCode() + " from " + address;
                if (answer.statusCode() == 200) {
                    record.line(
                            "configuration %d: sent first at %.3f, acknowledged by %s",
                            version, sent, address);
                    return true;
                }
                if (answer.statusCode() < 500 && answer.statusCode() != 408
                        && answer.statusCode() != 429) {
                    break;
                }
            } catch (IOException failure) {
                last = failure.getClass().getSimpleName() + " at " + address;
            }
            Thread.sleep(150);
        }
        record.line("configuration %d: no acknowledgement; last: %s", version, last);
        return false;
    }

    /** Reads the configuration once; returns its version, or minus the status, or 0 for none. */
    long describe(String address) throws InterruptedException {
        try {
            final HttpResponse<String> answer =
                    client.send(
                            request(address, "/configuration/describe").GET().build(),
                            HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() != 200) {
                return -answer.statusCode();
            }
            final Matcher found = VERSION.matcher(answer.body());
            return found.find() ? Long.parseLong(found.group(1)) : 0;
        } catch (IOException failure) {
            return 0;
        }
    }

    private static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(1))
                .header("Content-Type", "application/json");
    }
}
