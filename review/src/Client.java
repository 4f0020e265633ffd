import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a connection of its own and reads the whole answer. */
final class Client {
    /** An answer: the status, 0 for none, and whether its body is whole. */
    record Answer(int status, boolean whole, String body) {}

    private Client() {}

    /** Sends a request for a stream of an adapter. */
    static Answer send(
            Record record, String address, String requestId, String adapter, long deadlineMillis) {
        record.line("client sends %s for adapter %s to the gateway", requestId, adapter);
        final String headers =
                "X-Crocushaven-Model: " + Configurations.MODEL + '/' + adapter
                        + "\r\nX-Crocushaven-Token-Usage: 900,48"
                        + "\r\nX-Crocushaven-Prompt-Prefix: 5c1e07a2:120,"
                        + Long.toHexString(requestId.hashCode() & 0xffffffffL) + ":780\r\n";
        return exchange(
                record,
                address,
                requestId,
                Configurations.ENGINE_PREFIX + "2f",
                headers,
                Configurations.KEY,
                deadlineMillis);
    }

    /** Sends a booking with a key; with none if that is empty. */
    static Answer book(Record record, String address, String requestId, String key) {
        record.line(
                "client sends booking %s to the gateway, key: %s",
                requestId, key.isEmpty() ? "none" : key);
        return exchange(
                record, address, requestId, Configurations.PLAIN_PREFIX + "2f", "", key, 1_500);
    }

    private static Answer exchange(
            Record record,
            String address,
            String requestId,
            String path,
            String headers,
            String key,
            long deadlineMillis) {
        final int colon = address.lastIndexOf(':');
        Answer answer = new Answer(0, false, "");
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            socket.setSoTimeout((int) deadlineMillis);
            final String body = "{\"prompt\":\"" + requestId + "\"}";
            socket.getOutputStream()
                    .write(
                            ("POST " + path + " HTTP/1.1\r\nHost: " + Configurations.HOST
                                            + "\r\nX-Crocushaven-Attempt-Id: " + requestId
                                            + "\r\n" + headers + "X-Crocushaven-Deadline-Ms: "
                                            + deadlineMillis
                                            + (key.isEmpty()
                                                    ? ""
                                                    : "\r\nAuthorization: Bearer " + key)
                                            + "\r\nContent-Type: application/json"
                                            + "\r\nConnection: close\r\nContent-Length: "
                                            + body.length() + "\r\n\r\n" + body)
                                    .getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            final String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            final int status = text.length() < 12 ? 0 : Integer.parseInt(text.substring(9, 12));
            final boolean whole =
                    text.contains("chunked")
                            ? text.endsWith("0\r\n\r\n")
                            : text.contains("\r\n\r\n");
            answer = new Answer(status, whole, text);
        } catch (IOException failure) {
            record.line("client: %s", failure);
        }
        record.line(
                "client gets %s for %s, whole: %s",
                answer.status() == 0 ? "no answer" : answer.status(), requestId, answer.whole());
        return answer;
    }
}
