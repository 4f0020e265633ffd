package org.crocushaven.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends raw text over a socket so that tests can send requests that no HTTP client sends. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;

    private final Socket socket;

    private RawCaller(Socket socket) {
        this.socket = socket;
    }

    static RawCaller connect(InetSocketAddress address) {
        try {
            final Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.getPort());
            socket.setSoTimeout(TIMEOUT_MILLIS);
            return new RawCaller(socket);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    RawCaller send(String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            return this;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Reads up to and including the given text. */
    String readUntil(String end) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            while (!bytes.toString(StandardCharsets.UTF_8).endsWith(end)) {
                final int next = socket.getInputStream().read();
                if (next < 0) {
                    throw new AssertionError("connection closed; received: " + bytes);
                }
                bytes.write(next);
            }
        } catch (IOException failure) {
            throw new AssertionError(failure + "; received: " + bytes, failure);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Reads one complete answer, which must have a Content-Length. */
    String readAnswer() {
        final String head = readUntil("\r\n\r\n");
        final String lower = head.toLowerCase(java.util.Locale.ROOT);
        final int at = lower.indexOf("content-length: ") + "content-length: ".length();
        final int length = Integer.parseInt(head.substring(at, head.indexOf('\r', at)));
        try {
            final byte[] body = socket.getInputStream().readNBytes(length);
            return head + new String(body, StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Reads until the connection is closed. */
    String readToEnd() {
        try {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
