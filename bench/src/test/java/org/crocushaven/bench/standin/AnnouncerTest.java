package org.crocushaven.bench.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.crocushaven.bench.http.Exchange;
import org.crocushaven.bench.http.StandInServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AnnouncerTest {
    private static final int UNUSED_PORT = 1;
    private static final int MAXIMUM_HEARTBEATS_BEFORE_REGISTRATION = 3;

    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final AtomicBoolean nextHeartbeatNotFound = new AtomicBoolean();
    private final StandInServer instance = StandInServer.start("127.0.0.1", 0, this::receive);
    private final PlainService service =
            PlainService.start(
                    new PlainServiceSettings(
                            "p1",
                            "desk",
                            "a",
                            "127.0.0.1",
                            0,
                            List.of("127.0.0.1:" + UNUSED_PORT, "127.0.0.1:" + instance.port()),
                            8));

    @AfterEach
    void stop() {
        service.close();
        instance.close();
    }

    private void receive(Exchange exchange) {
        final String kind = exchange.path().substring("/announce/".length());
        received.add(kind + ":" + exchange.json().path("sequence").asText());
        if (kind.equals("heartbeat") && nextHeartbeatNotFound.getAndSet(false)) {
            exchange.answer(404, Map.of("code", 5004));
        } else {
            exchange.answer(200, Map.of());
        }
    }

    private String nextAnnouncement() throws InterruptedException {
        return received.poll(5, TimeUnit.SECONDS);
    }

    @Nested
    class Registration {
        @Test
        void usesTheNextAddressWhenOneIsUnreachable() throws Exception {
            assertEquals("register:", nextAnnouncement());
            assertEquals("heartbeat:1", nextAnnouncement());
            assertEquals("heartbeat:2", nextAnnouncement());
        }

        @Test
        void registersAgainWhenHeartbeatIsAnsweredNotFound() throws Exception {
            assertEquals("register:", nextAnnouncement());
            nextHeartbeatNotFound.set(true);
            int heartbeats = 0;
            String announcement = nextAnnouncement();
            while (announcement.startsWith("heartbeat:")
                    && heartbeats < MAXIMUM_HEARTBEATS_BEFORE_REGISTRATION) {
                heartbeats++;
                assertEquals("heartbeat:" + heartbeats, announcement);
                announcement = nextAnnouncement();
            }

            assertEquals("register:", announcement);
            assertEquals("heartbeat:" + (heartbeats + 1), nextAnnouncement());
        }

        @Test
        void sendsLeaveWhenDrained() throws Exception {
            assertEquals("register:", nextAnnouncement());
            service.drainAndLeave();
            assertTrue(received.stream().anyMatch(announcement -> announcement.equals("leave:")));
        }
    }
}
