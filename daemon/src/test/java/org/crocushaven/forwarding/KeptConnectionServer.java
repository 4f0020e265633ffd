package org.crocushaven.forwarding;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** Accepts connections, keeps them, and answers each request with bytes that a script gives. */
final class KeptConnectionServer implements AutoCloseable {
    private final ServerSocket listener;
    private final Supplier<Script> scripts;

    private KeptConnectionServer(ServerSocket listener, Supplier<Script> scripts) {
        this.listener = listener;
        this.scripts = scripts;
        startThread(this::acceptAll);
    }

    /**
     * Starts a server.
     *
     * @param scripts gives the script of each connection that is opened
     */
    static KeptConnectionServer start(Supplier<Script> scripts) throws IOException {
        return new KeptConnectionServer(
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), scripts);
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                final Socket socket = listener.accept();
                final Script script = scripts.get();
                startThread(() -> serve(socket, script));
            } catch (IOException closed) {
                continue;
            }
        }
    }

    private static void serve(Socket socket, Script script) {
        try (socket) {
            final BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            while (readRequest(reader)) {
                socket.getOutputStream().write(script.next().getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().flush();
            }
        } catch (IOException closed) {
            return;
        }
    }

    private static boolean readRequest(BufferedReader reader) throws IOException {
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
        return line != null;
    }

    private static void startThread(Runnable task) {
        final Thread thread = new Thread(task, "kept-connection-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Gives what is written for the requests of one connection. */
    interface Script {
        /** Returns what is written for the next request; closes the connection if it throws. */
        String next() throws IOException;
    }
}
