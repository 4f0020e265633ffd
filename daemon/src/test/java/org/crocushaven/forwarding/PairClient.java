package org.crocushaven.forwarding;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client that sends one request and reads what comes line by line. */
final class PairClient implements AutoCloseable {
    private final Socket socket;
    private final BufferedReader reader;

    private PairClient(Socket socket) throws IOException {
        this.socket = socket;
        this.reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    static PairClient send(int port, String requestId) throws IOException {
        final Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) ForwardingFixture.AWAIT_MILLIS);
        final String request =
                "POST /chat/x HTTP/1.1\r\nHost: host\r\nConnection: close\r\n"
                        + ConnectionDialect.REQUEST_ID
                        + ": "
                        + requestId
                        + "\r\nKey: "
                        + PairedGateway.KEY
                        + "\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return new PairClient(socket);
    }

    /** Returns the status of the answer once its head is there; -1 if the connection ends. */
    int awaitStatus() throws IOException {
        final String line = reader.readLine();
        return line == null ? -1 : Integer.parseInt(line.split(" ")[1]);
    }

    /** Waits for a line that begins with a text, and returns it. */
    String awaitLine(String beginning) throws IOException {
        String line = reader.readLine();
        while (line != null && !line.startsWith(beginning)) {
            line = reader.readLine();
        }
        if (line == null) {
            throw new AssertionError("no line begins with " + beginning);
        }
        return line;
    }

    /** Returns all lines until the connection ends. */
    List<String> readToEnd() throws IOException {
        final List<String> lines = new ArrayList<>();
        String line = reader.readLine();
        while (line != null) {
            lines.add(line);
            line = reader.readLine();
        }
        return lines;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
