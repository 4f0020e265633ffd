package org.crocushaven.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Reads the beginning of each request and closes the connection without an answer. */
final class ClosingServer implements AutoCloseable {
    private static final int BACKLOG = 8;

    private final ServerSocket listener;
    private final Thread thread;

    private ClosingServer(ServerSocket listener) {
        this.listener = listener;
        thread = new Thread(this::closeConnections, "closing-server");
        thread.setDaemon(true);
    }

    static ClosingServer start() throws IOException {
        final ServerSocket listener =
                new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        final ClosingServer server = new ClosingServer(listener);
        server.thread.start();
        return server;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void closeConnections() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                socket.getInputStream().read();
            } catch (IOException closed) {
                return;
            }
        }
    }
}
