package org.crocushaven.forwarding;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client of a gateway that sends bytes as told. */
final class RawClient implements AutoCloseable {
    private static final String LENGTH = "content-length: ";
    private static final int STATUS_BEGIN = "HTTP/1.1 ".length();
    private static final int STATUS_END = STATUS_BEGIN + 3;
    private static final int SOON_MILLIS = 1_500;

    private final Socket socket = new Socket();

    private RawClient(int port) throws IOException {
        socket.setSoTimeout((int) ForwardingFixture.AWAIT_MILLIS);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    static RawClient connect(int port) throws IOException {
        return new RawClient(port);
    }

    RawClient send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return this;
    }

    /** Reads the next answer whole and returns its status; -1 if the connection was closed. */
    int awaitStatus() throws IOException {
        final InputStream in = socket.getInputStream();
        String line = readLine(in);
        if (line.isEmpty()) {
            return -1;
        }
        final int status = Integer.parseInt(line.substring(STATUS_BEGIN, STATUS_END));
        int length = 0;
        while (!line.isEmpty()) {
            if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH)) {
                length = Integer.parseInt(line.substring(LENGTH.length()));
            }
            line = readLine(in);
        }
        in.readNBytes(length);
        return status;
    }

    /** Reads until what came ends with a text, and returns all of it. */
    String readUntil(String end) throws IOException {
        final StringBuilder text = new StringBuilder();
        while (text.lastIndexOf(end) < 0 || text.lastIndexOf(end) + end.length() < text.length()) {
            final int next = socket.getInputStream().read();
            if (next < 0) {
                throw new AssertionError("the connection ended after: " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Returns all bytes that come until the connection ends, which it does soon. */
    String readToEnd() throws IOException {
        socket.setSoTimeout(SOON_MILLIS);
        final StringBuilder text = new StringBuilder();
        try {
            int next = socket.getInputStream().read();
            while (next >= 0) {
                text.append((char) next);
                next = socket.getInputStream().read();
            }
        } catch (SocketTimeoutException open) {
            throw new AssertionError("the connection is open after: <" + text + ">", open);
        } catch (SocketException reset) {
            return text.toString();
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static String readLine(InputStream in) throws IOException {
        final StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }
}
