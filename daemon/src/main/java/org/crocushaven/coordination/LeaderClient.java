package org.crocushaven.coordination;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.protocol.Failures;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Sends idempotent messages to the current leader of a group.
 *
 * <p>The same message is sent again after each failed attempt until the total timeout. The request
 * then fails with {@code NO_QUORUM} if no attempt can have been processed, else with {@code
 * PROPOSAL_OUTCOME_UNKNOWN}. A failure with a code that is not retryable is passed on at once.
 */
public final class LeaderClient {
    private static final long RETRY_DELAY_MILLIS = 50;
    private static final Set<ResultCode> RETRYABLE_CODES =
            EnumSet.of(
                    ResultCode.PEER_UNREACHABLE,
                    ResultCode.PEER_TIMEOUT,
                    ResultCode.PEER_QUEUE_FULL,
                    ResultCode.NOT_LEADER,
                    ResultCode.NO_QUORUM,
                    ResultCode.QUEUE_FULL,
                    ResultCode.STOPPING,
                    ResultCode.MESSAGE_TYPE_UNKNOWN,
                    ResultCode.PROPOSAL_OUTCOME_UNKNOWN);

    private final PeerTransport transport;
    private final GroupLeaders leaders;
    private final ScheduledExecutorService executor;
    private final NanoClock clock;

    private LeaderClient(
            PeerTransport transport,
            GroupLeaders leaders,
            ScheduledExecutorService executor,
            NanoClock clock) {
        this.transport = transport;
        this.leaders = leaders;
        this.executor = executor;
        this.clock = clock;
    }

    /** Returns a client that schedules its retries on the given executor. */
    public static LeaderClient create(
            PeerTransport transport,
            GroupLeaders leaders,
            ScheduledExecutorService executor,
            NanoClock clock) {
        return new LeaderClient(transport, leaders, executor, clock);
    }

    /**
     * Sends a message to the leader of a group and completes with its answer.
     *
     * @param attemptTimeout timeout of one attempt
     * @param totalTimeout timeout of all attempts together
     */
    public CompletableFuture<Message> request(
            int groupId, Message message, Duration attemptTimeout, Duration totalTimeout) {
        final Request request =
                new Request(
                        groupId,
                        message,
                        attemptTimeout,
                        clock.nanoTime() + totalTimeout.toNanos());
        request.attempt();
        return request.result;
    }

    private final class Request {
        private final int groupId;
        private final Message message;
        private final Duration attemptTimeout;
        private final long deadlineNanos;
        private final CompletableFuture<Message> result = new CompletableFuture<>();
        private boolean mayHaveBeenProcessed;

        private Request(int groupId, Message message, Duration attemptTimeout, long deadlineNanos) {
            this.groupId = groupId;
            this.message = message;
            this.attemptTimeout = attemptTimeout;
            this.deadlineNanos = deadlineNanos;
        }

        private void attempt() {
            final long remainingNanos = deadlineNanos - clock.nanoTime();
            if (remainingNanos <= 0) {
                giveUp();
                return;
            }
            final Optional<String> target = leaders.nextTarget(groupId);
            if (target.isEmpty()) {
                scheduleRetry();
                return;
            }
            final Duration timeout =
                    Duration.ofNanos(Math.min(remainingNanos, attemptTimeout.toNanos()));
            transport
                    .request(target.get(), message, timeout)
                    .whenComplete((answer, failure) -> handleAnswer(target.get(), answer, failure));
        }

        private void handleAnswer(String target, Message answer, Throwable failure) {
            if (failure != null) {
                handleFailure(target, Failures.toResultException(failure));
            } else if (answer instanceof LeaderHint hint) {
                leaders.recordNotLeader(groupId, target, hint.leader());
                scheduleRetry();
            } else {
                leaders.recordLeader(groupId, target);
                result.complete(answer);
            }
        }

        private void handleFailure(String target, ResultException failure) {
            if (!RETRYABLE_CODES.contains(failure.code())) {
                result.completeExceptionally(failure);
                return;
            }
            leaders.recordNotLeader(groupId, target, "");
            mayHaveBeenProcessed |= failure.execution() != Execution.NOT_RUN;
            scheduleRetry();
        }

        private void scheduleRetry() {
            executor.schedule(this::attempt, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void giveUp() {
            result.completeExceptionally(
                    ResultException.of(
                            mayHaveBeenProcessed
                                    ? ResultCode.PROPOSAL_OUTCOME_UNKNOWN
                                    : ResultCode.NO_QUORUM,
                            groupId));
        }
    }
}
