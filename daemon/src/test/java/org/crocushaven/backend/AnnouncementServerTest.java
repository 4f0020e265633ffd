package org.crocushaven.backend;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AnnouncementServerTest {
    private static final String REGISTER =
            "{\"name\":\"e1\",\"service\":\"model\",\"failure_domain\":\"a\","
                    + "\"host\":\"127.0.0.1\",\"port\":9001,\"incarnation\":17,\"adapter_slots\":8,"
                    + "\"concurrent_requests\":16,\"checks_fencing\":true}";
    private static final String HEARTBEAT =
            "{\"name\":\"e1\",\"incarnation\":17,\"sequence\":42,\"running\":3,\"waiting\":0,"
                    + "\"loaded\":[\"a@1\"],\"busy\":[\"a@1\"],\"draining\":false}";
    private static final String NAME_AND_INCARNATION = "{\"name\":\"e1\",\"incarnation\":17}";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StringBuilder session = new StringBuilder();
    private EventLoopGroup group;
    private AnnouncementServer server;

    @BeforeEach
    void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server =
                AnnouncementServer.start(
                        group,
                        new InetSocketAddress("127.0.0.1", 0),
                        BackendDirectory.of(() -> 0L, "model"::equals),
                        "i1");
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void answersEachAnnouncementOfOneBackendServer() throws Exception {
        post("/announce/heartbeat", HEARTBEAT);
        post("/announce/register", REGISTER);
        post("/announce/heartbeat", HEARTBEAT);
        post("/announce/heartbeat", HEARTBEAT);
        post("/announce/heartbeat", HEARTBEAT.replace("17", "16"));
        post("/announce/register", REGISTER.replace("17", "16"));
        post("/announce/drain", NAME_AND_INCARNATION);
        post("/announce/leave", NAME_AND_INCARNATION);
        post("/announce/leave", NAME_AND_INCARNATION);
        Approvals.verify(session);
    }

    @Test
    void refusesEachInvalidAnnouncement() throws Exception {
        final String[][] replacements = {
            {"\"e1\"", "\"\""},
            {"\"e1\"", "\"a b\""},
            {"\"model\"", "7"},
            {"\"model\"", "\"unpublished\""},
            {"\"a\"", "null"},
            {"127.0.0.1", "example.org"},
            {"127.0.0.1", "127.0.0.256"},
            {"9001", "0"},
            {"9001", "65536"},
            {"9001", "\"9001\""},
            {"17", "-1"},
            {"17", "1e3"},
            {"17", "99999999999999999999"},
            {":8", ":-1"},
            {"16", "0"},
            {"true", "\"yes\""},
            {"\"port\":9001,", ""},
            {"\"port\":9001", "\"port\":9001,\"port\":9002"},
        };
        for (final String[] replacement : replacements) {
            post("/announce/register", REGISTER.replace(replacement[0], replacement[1]));
        }
        post("/announce/register", REGISTER);
        post("/announce/heartbeat", HEARTBEAT.replace("[\"a@1\"]", "[\"a\"]"));
        post("/announce/heartbeat", HEARTBEAT.replace("[\"a@1\"]", "{}"));
        post("/announce/heartbeat", HEARTBEAT.replace("\"running\":3", "\"running\":-3"));
        post("/announce/heartbeat", HEARTBEAT.replace("false", "0"));
        post("/announce/drain", "{\"name\":\"e1\"}");
        post("/announce/drain", "[]");
        post("/announce/drain", NAME_AND_INCARNATION + NAME_AND_INCARNATION);
        post("/announce/unknown", NAME_AND_INCARNATION);
        send(request("/announce/drain").GET().build(), "GET /announce/drain");
        Approvals.verify(session);
    }

    private void post(String path, String body) throws Exception {
        send(
                request(path).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
                "POST " + path + " " + body);
    }

    private void send(HttpRequest request, String title) throws Exception {
        final HttpResponse<String> response =
                http.send(request, HttpResponse.BodyHandlers.ofString());
        session.append(title).append('\n');
        session.append("  ").append(response.statusCode()).append(' ');
        session.append(response.body()).append('\n');
    }

    private HttpRequest.Builder request(String path) {
        final String address = "http://127.0.0.1:" + server.address().getPort() + path;
        return HttpRequest.newBuilder(URI.create(address)).timeout(Duration.ofSeconds(10));
    }
}
