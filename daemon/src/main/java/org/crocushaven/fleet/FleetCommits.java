package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.crocushaven.consensus.GroupHost;
import org.crocushaven.observability.EventLine;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Commits changes of the replicated state on an instance that leads. Used on one event loop. */
final class FleetCommits {
    private final EventLoop loop;
    private final Supplier<GroupHost> group;
    private final Runnable applied;

    /**
     * Creates the commits of one instance.
     *
     * @param applied passes a committed change on to the gateways
     */
    FleetCommits(EventLoop loop, Supplier<GroupHost> group, Runnable applied) {
        this.loop = loop;
        this.group = group;
        this.applied = applied;
    }

    /**
     * Commits a command; the future completes on the event loop, with {@code EVACUATION_OVERTAKEN}
     * if the state refuses the command.
     */
    CompletableFuture<Void> commit(byte[] command) {
        return onLoop(group.get().propose(command)).thenAccept(FleetCommits::requireApplied);
    }

    private static void requireApplied(byte[] result) {
        if (FleetState.isRefused(result)) {
            throw ResultException.of(ResultCode.EVACUATION_OVERTAKEN, "named in it");
        }
    }

    /** Commits a command and passes the change on; the future completes on the event loop. */
    CompletableFuture<Void> commitAndApply(byte[] command) {
        return commit(command).thenRun(applied);
    }

    /** Proposes a change of the gateways that may hold shares. */
    void proposeRegistration(FleetCommand change) {
        group.get()
                .propose(MessageCodec.encodeValue(change))
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                EventLine.of("registration-failed")
                                        .with("added", change.gatewaysAdded())
                                        .with("reason", failure.getMessage())
                                        .info();
                            }
                        });
    }

    /** Returns a future with the same outcome that completes on the event loop. */
    <T> CompletableFuture<T> onLoop(CompletableFuture<T> future) {
        final CompletableFuture<T> completed = new CompletableFuture<>();
        future.whenComplete(
                (value, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure == null) {
                                        completed.complete(value);
                                    } else {
                                        completed.completeExceptionally(failure);
                                    }
                                }));
        return completed;
    }
}
