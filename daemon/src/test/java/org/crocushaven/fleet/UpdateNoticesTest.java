package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class UpdateNoticesTest {
    private static final int CHANGES = 50;
    private static final long TIMEOUT_MILLIS = 10_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final Semaphore sent = new Semaphore(0);
    private final UpdateNotices notices = new UpdateNotices(loop, () -> 0, sent::release);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void changesInQuickSuccessionShareOneNoticeAfterTheFirst() throws Exception {
        loop.submit(
                        () -> {
                            for (int change = 0; change < CHANGES; change++) {
                                notices.request();
                            }
                        })
                .get();

        assertEquals(1, sent.drainPermits());
        assertTrue(sent.tryAcquire(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(0, sent.availablePermits());
    }
}
