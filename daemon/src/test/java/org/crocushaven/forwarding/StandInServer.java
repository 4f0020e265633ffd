package org.crocushaven.forwarding;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A backend server that leaves each request to the test, which answers it step by step. */
final class StandInServer implements AutoCloseable {
    private final String name;
    private final ServerSocket listener;
    private final BlockingQueue<Exchange> exchanges = new LinkedBlockingQueue<>();

    private StandInServer(String name) throws IOException {
        this.name = name;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final Thread acceptor = new Thread(this::acceptAll, "stand-in-" + name);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    static StandInServer start(String name) throws IOException {
        return new StandInServer(name);
    }

    String name() {
        return name;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the next request that arrives. */
    Exchange awaitRequest() throws InterruptedException {
        final Exchange next = exchanges.poll(ForwardingFixture.AWAIT_MILLIS, TimeUnit.MILLISECONDS);
        if (next == null) {
            throw new AssertionError("no request reached " + name);
        }
        return next;
    }

    /** Returns whether a request arrived that {@link #awaitRequest} has not returned yet. */
    boolean hasRequest() {
        return !exchanges.isEmpty();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                exchanges.add(Exchange.read(listener.accept()));
            } catch (IOException closed) {
                continue;
            }
        }
    }

    /** One request, on a connection of its own. */
    static final class Exchange {
        private static final String LAST_EVENT_ID = "last-event-id: ";
        private static final int RETRY_MILLIS = 200;
        private static final int RETRIES = 20;

        private final Socket socket;
        private final BufferedReader reader;
        private final OutputStream out;
        private final String lastEventId;

        private Exchange(Socket socket, BufferedReader reader, String lastEventId)
                throws IOException {
            this.socket = socket;
            this.reader = reader;
            this.out = socket.getOutputStream();
            this.lastEventId = lastEventId;
        }

        private static Exchange read(Socket socket) throws IOException {
            final BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String lastEventId = "";
            String line = reader.readLine();
            if (line == null) {
                throw new IOException("a connection without a request");
            }
            while (line != null && !line.isEmpty()) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith(LAST_EVENT_ID)) {
                    lastEventId = line.substring(LAST_EVENT_ID.length());
                }
                line = reader.readLine();
            }
            return new Exchange(socket, reader, lastEventId);
        }

        /** Returns the event after which the stream should go on; empty for a new stream. */
        String lastEventId() {
            return lastEventId;
        }

        /** Begins a stream. */
        Exchange begin() throws IOException {
            write("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
            return this;
        }

        /** Sends an event. */
        Exchange event(int id) throws IOException {
            final String event = "id: " + id + "\n\n";
            write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            return this;
        }

        /** Sends the first part of an event. */
        Exchange partialEvent(int id) throws IOException {
            final String event = "id: " + id + "\n";
            write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            return this;
        }

        /** Closes the connection after what was sent. */
        void close() throws IOException {
            socket.close();
        }

        /** Closes the connection in the direction of the gateway alone. */
        void closeOutput() throws IOException {
            socket.shutdownOutput();
        }

        /** Ends a stream as complete. */
        void end() throws IOException {
            write("0\r\n\r\n");
        }

        /** Sends a complete answer. */
        void answer(int status, String headers, String body) throws IOException {
            write(
                    "HTTP/1.1 "
                            + status
                            + " Status\r\nConnection: close\r\n"
                            + headers
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
        }

        /** Answers that the request did not run. */
        void refuse() throws IOException {
            answer(503, "Not-Run: 1\r\n", "");
        }

        /** Breaks the connection off. */
        void breakOff() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Starts requests until one comes on this connection. */
        void awaitNextRequest(ForwardingFixture fixture) throws Exception {
            socket.setSoTimeout(RETRY_MILLIS);
            for (int request = 0; request < RETRIES; request++) {
                fixture.start();
                try {
                    if (reader.read() >= 0) {
                        return;
                    }
                    throw new AssertionError("the connection was closed");
                } catch (SocketTimeoutException notYet) {
                    continue;
                }
            }
            throw new AssertionError("no further request came on the connection");
        }

        /** Waits until the gateway closes the connection. */
        void awaitClosed() throws IOException {
            socket.setSoTimeout((int) ForwardingFixture.AWAIT_MILLIS);
            if (reader.read() >= 0) {
                throw new AssertionError("a second request came on the connection");
            }
        }

        /** Sends the given text as it is. */
        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }
}
