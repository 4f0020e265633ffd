package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.coordination.VoterChange;
import org.crocushaven.observability.EventLine;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Gives the vote of an instance that stops to another one, before it ends.
 *
 * <p>Every voter is told, so that the next leader knows it as well. Used on one event loop only.
 */
final class VoteReturn {
    private static final int GROUP = 0;

    /** Time between two requests; an answer comes once the removal is committed. */
    private static final long RETRY_MILLIS = 500;

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final String instance;
    private final GroupMembership membership;
    private final PeerTransport transport;
    private final EventLoop loop;
    private final NanoClock clock;
    private final CompletableFuture<Void> returned = new CompletableFuture<>();

    VoteReturn(
            String instance,
            GroupMembership membership,
            PeerTransport transport,
            EventLoop loop,
            NanoClock clock) {
        this.instance = instance;
        this.membership = membership;
        this.transport = transport;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Starts; the future completes once this instance has no vote any more, at once if no other
     * instance could vote in its place, and after the time limit at the latest.
     */
    CompletableFuture<Void> start(long limitMillis) {
        if (membership.canGiveVoteBack()) {
            EventLine.of("vote-return-started").with("instance", instance).info();
            membership.stopJoining();
            ask(clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis));
        } else {
            returned.complete(null);
        }
        return returned;
    }

    private void ask(long endNanos) {
        if (returned.isDone() || clock.nanoTime() - endNanos >= 0) {
            end("out of time");
            return;
        }
        membership.stopping(instance);
        others().forEach(this::tell);
        if (membership.leads()) {
            membership.replaceStopping(instance).thenRun(() -> end("done"));
        }
        loop.schedule(() -> ask(endNanos), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private List<String> others() {
        return membership.voters().stream().filter(name -> !name.equals(instance)).toList();
    }

    private void tell(String voter) {
        transport
                .request(voter, new VoterChange(GROUP, instance, false), REQUEST_TIMEOUT)
                .whenComplete((answer, failure) -> loop.execute(() -> answered(voter, failure)));
    }

    private void answered(String voter, Throwable failure) {
        if (failure == null) {
            end("done");
        } else if (failure instanceof ResultException refusal
                && refusal.code() == ResultCode.MESSAGE_TYPE_UNKNOWN
                && membership.leader().equals(Optional.of(voter))) {
            end("the leader takes no votes back");
        }
    }

    private void end(String outcome) {
        if (returned.complete(null)) {
            EventLine.of("vote-return-ended")
                    .with("instance", instance)
                    .with("outcome", outcome)
                    .info();
        }
    }
}
