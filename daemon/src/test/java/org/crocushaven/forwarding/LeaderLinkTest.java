package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.ControlHint;
import org.crocushaven.fleet.GatewayReport;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.PathReport;
import org.crocushaven.fleet.TraitReport;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.MessageHandler;
import org.crocushaven.protocol.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LeaderLinkTest {
    private static final String LOST_LEADER = "lost";
    private static final String NEW_LEADER = "next";
    private static final long TIMEOUT_MILLIS = 5_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final BlockingQueue<Sent> sent = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> updates = new LinkedBlockingQueue<>();
    private volatile boolean updatesFail;
    private volatile int reportsToFail;
    private volatile boolean intervalsFail;
    private final LeaderLink link =
            new LeaderLink(
                    loop,
                    new SilentTransport(),
                    SystemNanoClock.INSTANCE,
                    this::report,
                    (update, sentNanos) -> {
                        updates.add(update.epoch());
                        if (updatesFail) {
                            throw new IllegalStateException("injected");
                        }
                    },
                    this::needsFrequentReports);

    @AfterEach
    void stop() throws InterruptedException {
        loop.execute(link::stop);
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    private boolean needsFrequentReports() {
        if (intervalsFail) {
            throw new IllegalStateException("injected");
        }
        return false;
    }

    private GatewayReport report(long nowNanos) {
        if (reportsToFail > 0) {
            reportsToFail--;
            throw new IllegalStateException("injected");
        }
        return new GatewayReport(
                "gateway",
                0,
                0,
                0,
                0,
                List.of(),
                List.of(),
                ShareHolder.create(1).report(nowNanos),
                List.of(),
                TraitReport.EMPTY,
                List.of(),
                PathReport.EMPTY,
                List.of());
    }

    private static GatewayUpdate update(long epoch) {
        return GatewayUpdateBuilder.ofTerm(epoch)
                .completeAt(1, List.of())
                .state(1, false)
                .controlInstances(LOST_LEADER, NEW_LEADER)
                .build();
    }

    private Sent nextSent() throws InterruptedException {
        return sent.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Guards against a delay of a new leader's update: a report to a lost leader takes 300 ms to
     * fail, and the announcement of a new leader must not wait for that.
     */
    @Test
    void reportsToAnnouncedLeaderWhileEarlierReportIsUnanswered() throws InterruptedException {
        loop.execute(() -> link.addControlInstances(List.of(LOST_LEADER)));
        loop.execute(link::start);
        final Sent unanswered = nextSent();
        assertEquals(LOST_LEADER, unanswered.to());

        loop.execute(() -> link.leaderAnnounced(NEW_LEADER));
        final Sent second = nextSent();
        assertEquals(NEW_LEADER, second.to());
        second.answer().complete(update(2));
        unanswered.answer().complete(update(1));

        assertEquals(2, updates.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(NEW_LEADER, nextSent().to());
        assertEquals(0, updates.size());
    }

    @Test
    void reportsGoOnAfterAnUpdateThatCannotBeApplied() throws InterruptedException {
        updatesFail = true;
        loop.execute(() -> link.addControlInstances(List.of(NEW_LEADER)));
        loop.execute(link::start);
        nextSent().answer().complete(update(1));
        assertEquals(1, updates.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));

        assertNotNull(nextSent(), "no further report");
    }

    @Test
    void reportsGoOnAfterOneThatCannotBeCreated() throws InterruptedException {
        reportsToFail = 1;
        loop.execute(() -> link.addControlInstances(List.of(NEW_LEADER)));
        loop.execute(link::start);

        assertNotNull(nextSent(), "no further report");
    }

    @Test
    void reportsGoOnWhenTheirIntervalCannotBeDecided() throws InterruptedException {
        intervalsFail = true;
        loop.execute(() -> link.addControlInstances(List.of(NEW_LEADER)));
        loop.execute(link::start);
        nextSent().answer().complete(update(1));

        assertNotNull(nextSent(), "no further report");
    }

    @Test
    void requestsThatWaitForTokensGoOnAfterAnUpdateThatCannotBeApplied()
            throws InterruptedException {
        updatesFail = true;
        loop.execute(() -> link.addControlInstances(List.of(NEW_LEADER)));
        final CountDownLatch ran = new CountDownLatch(1);
        loop.execute(() -> link.afterNextReport(ran::countDown));
        nextSent().answer().complete(update(1));

        assertTrue(ran.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    void oneFailingRequestDoesNotHoldThoseThatWaitWithIt() throws InterruptedException {
        loop.execute(() -> link.addControlInstances(List.of(NEW_LEADER)));
        final CountDownLatch ran = new CountDownLatch(1);
        loop.execute(
                () -> {
                    link.afterNextReport(
                            () -> {
                                throw new IllegalStateException("injected");
                            });
                    link.afterNextReport(ran::countDown);
                });
        nextSent().answer().complete(update(1));

        assertTrue(ran.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    void announcementByOneThatDoesNotLeadDoesNotReleaseTheLeader() throws Exception {
        loop.execute(() -> link.addControlInstances(List.of(NEW_LEADER)));
        loop.execute(link::start);
        nextSent().answer().complete(update(1));
        updates.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

        loop.execute(() -> link.leaderAnnounced(LOST_LEADER));
        Sent next = nextSent();
        while (!next.to().equals(LOST_LEADER)) {
            next = nextSent();
        }
        next.answer().complete(new ControlHint(NEW_LEADER, List.of(LOST_LEADER, NEW_LEADER)));

        final CompletableFuture<AdapterGrant> asked =
                loop.submit(() -> link.requestAdapter(AdapterRequest.of("s", "m", "a", List.of())))
                        .get();
        assertFalse(asked.isCompletedExceptionally(), "refused although the leader is reachable");
    }

    private record Sent(String to, CompletableFuture<Message> answer) {}

    /** Records requests and leaves their answers to the test. */
    private final class SilentTransport implements PeerTransport {
        @Override
        public void send(String instance, Message message) {
            throw new AssertionError("the link only sends messages that have an answer");
        }

        @Override
        public CompletableFuture<Message> request(
                String instance, Message message, Duration timeout) {
            final CompletableFuture<Message> answer = new CompletableFuture<>();
            sent.add(new Sent(instance, answer));
            return answer;
        }

        @Override
        public <M extends Message> void registerHandler(Class<M> type, MessageHandler<M> handler) {
            throw new AssertionError("the link registers no message handlers");
        }
    }
}
