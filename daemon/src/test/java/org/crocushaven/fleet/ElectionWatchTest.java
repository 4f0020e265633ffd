package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ElectionWatchTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final CountDownLatch polls = new CountDownLatch(2);
    private final ElectionWatch watch = new ElectionWatch(loop, () -> false, this::failFirstPoll);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void failFirstPoll() {
        polls.countDown();
        if (polls.getCount() > 0) {
            throw new IllegalStateException("injected");
        }
    }

    @Test
    void pollsGoOnAfterOneThatThrows() throws InterruptedException {
        loop.execute(watch::check);

        assertTrue(polls.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "no second poll");
    }
}
