package org.crocushaven.forwarding;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that answers each request with the same bytes and then ends the connection. */
public final class CuttingServer implements AutoCloseable {
    private final ServerSocket listener;
    private final AtomicInteger requests = new AtomicInteger();
    private volatile String bytes = "";
    private volatile End end = End.CLOSE;

    private CuttingServer(ServerSocket listener) {
        this.listener = listener;
        final Thread thread = new Thread(this::serveAll, "cutting-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts a server on a free port of the loopback address. */
    public static CuttingServer start() throws IOException {
        return new CuttingServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    }

    /** Returns the port of the server. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the number of requests that have arrived. */
    public int requests() {
        return requests.get();
    }

    /** Answers all further requests with the given bytes. */
    public void answer(String answer, End endOfConnection) {
        bytes = answer;
        end = endOfConnection;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void serveAll() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                serve(socket);
            } catch (IOException closed) {
                continue;
            }
        }
    }

    private void serve(Socket socket) throws IOException {
        final BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
        if (line == null) {
            return;
        }
        requests.incrementAndGet();
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        if (end == End.RESET) {
            socket.setSoLinger(true, 0);
        }
    }

    /** How a connection ends. */
    public enum End {
        CLOSE,
        RESET
    }
}
