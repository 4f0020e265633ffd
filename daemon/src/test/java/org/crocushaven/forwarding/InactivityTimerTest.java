package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class InactivityTimerTest {
    private static final long LIMIT_MILLIS = 100;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<Long> silences = new ArrayList<>();
    private long nowNanos;
    private final InactivityTimer watch =
            new InactivityTimer(channel.eventLoop(), () -> nowNanos, silences::add);

    private void pass(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void reportsSilenceAtLimit() {
        channel.freezeTime();
        watch.start(LIMIT_MILLIS);
        pass(99);
        assertTrue(silences.isEmpty());

        pass(1);
        assertEquals(List.of(100L), silences);
    }

    @Test
    void progressRestartsLimit() {
        channel.freezeTime();
        watch.start(LIMIT_MILLIS);
        pass(60);
        watch.recordProgress(LIMIT_MILLIS);
        pass(60);
        assertTrue(silences.isEmpty());

        pass(40);
        assertEquals(1, silences.size());
    }

    @Test
    void reportsAgainWhileSilenceLasts() {
        channel.freezeTime();
        watch.start(LIMIT_MILLIS);
        pass(100);
        pass(400);

        assertEquals(List.of(100L, 500L), silences);
    }

    @Test
    void bytesThatWaitWhileTheLoopIsBusyAreNoSilence() {
        channel.freezeTime();
        watch.start(LIMIT_MILLIS);
        pass(60);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(300);
        pass(40);
        assertTrue(silences.isEmpty());

        watch.recordProgress(LIMIT_MILLIS);
        pass(99);
        assertTrue(silences.isEmpty());
    }

    @Test
    void silenceThatLastsAfterTheLoopWasBusyIsReported() {
        channel.freezeTime();
        watch.start(LIMIT_MILLIS);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(300);
        pass(100);
        pass(10);

        assertEquals(1, silences.size());
    }

    @Test
    void reportsNothingWhenStopped() {
        channel.freezeTime();
        watch.start(LIMIT_MILLIS);
        watch.stop();
        pass(1_000);

        assertTrue(silences.isEmpty());
    }
}
