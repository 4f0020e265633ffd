package org.crocushaven.daemon;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.agrona.concurrent.EpochClock;
import org.crocushaven.caller.CallerRequest;
import org.crocushaven.observability.EventLine;
import org.crocushaven.once.AtMostOnceExecution;
import org.crocushaven.once.ClaimClient;
import org.crocushaven.once.ClaimDecision;
import org.crocushaven.once.ClaimId;
import org.crocushaven.once.ClaimKey;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.result.ResultException;
import org.crocushaven.serving.AtMostOnceGate;
import org.crocushaven.serving.StoredAnswer;

/** Ensures that non-idempotent calls run at most once, by claims in the replicated claim table. */
final class ClaimGate implements AtMostOnceGate {
    private static final Duration IN_FLIGHT_RETRY_AFTER = Duration.ofSeconds(1);

    private final String instance;
    private final long incarnation;
    private final ClaimClient client;
    private final EpochClock clock;
    private final Executor retryExecutor;
    private final AtomicLong lastSequence = new AtomicLong();

    ClaimGate(
            String instance,
            long incarnation,
            ClaimClient client,
            EpochClock clock,
            Executor retryExecutor) {
        this.instance = instance;
        this.incarnation = incarnation;
        this.client = client;
        this.clock = clock;
        this.retryExecutor = retryExecutor;
    }

    @Override
    public CompletableFuture<Claim> claim(
            String organisation, String service, CallerRequest request) {
        final long sequence = lastSequence.incrementAndGet();
        final String key =
                request.idempotencyKey()
                        .orElse(instance + "." + Long.toHexString(incarnation) + "." + sequence);
        final AtMostOnceExecution execution =
                AtMostOnceExecution.create(
                        client,
                        new ClaimKey(organisation, service, key),
                        new ClaimId(instance, incarnation, sequence),
                        clock,
                        retryExecutor);
        return execution
                .claim(digest(request))
                .thenApply(decision -> toClaim(request, key, execution, decision));
    }

    private static Claim toClaim(
            CallerRequest request,
            String key,
            AtMostOnceExecution execution,
            ClaimDecision decision) {
        EventLine.of("claim")
                .with("request", request.requestId())
                .with("decision", decision.kind().name())
                .info();
        if (decision.isGranted()) {
            return new HeldClaim(key, execution);
        }
        if (decision.storedAnswer().isPresent()) {
            return new AnsweredClaim(
                    key,
                    MessageCodec.decodeValue(decision.storedAnswer().get(), StoredAnswer.class));
        }
        final ResultException refusal = decision.refusal();
        throw decision.kind() == ClaimDecision.Kind.IN_FLIGHT
                ? refusal.withRetryAfter(IN_FLIGHT_RETRY_AFTER)
                : refusal;
    }

    private static byte[] digest(CallerRequest request) {
        try {
            final MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(request.method().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(request.path().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            return digest.digest(request.body());
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }

    /** Claim granted to this instance, which runs the call. */
    private static final class HeldClaim implements Claim {
        private final String idempotencyKey;
        private final AtMostOnceExecution execution;
        private boolean sending;
        private boolean ended;

        private HeldClaim(String idempotencyKey, AtMostOnceExecution execution) {
            this.idempotencyKey = idempotencyKey;
            this.execution = execution;
        }

        @Override
        public String idempotencyKey() {
            return idempotencyKey;
        }

        @Override
        public StoredAnswer storedAnswer() {
            return null;
        }

        @Override
        public CompletableFuture<Void> startSending() {
            synchronized (this) {
                if (sending) {
                    return CompletableFuture.completedFuture(null);
                }
                sending = true;
            }
            return execution
                    .startSending()
                    .thenAccept(
                            decision -> {
                                if (!decision.isGranted()) {
                                    throw decision.refusal();
                                }
                            });
        }

        @Override
        public CompletableFuture<Void> complete(StoredAnswer answer) {
            return markEnded()
                    ? execution.complete(MessageCodec.encodeValue(answer))
                    : CompletableFuture.completedFuture(null);
        }

        @Override
        public void release() {
            if (markEnded()) {
                execution.release();
            }
        }

        @Override
        public void abandon() {
            if (markEnded()) {
                execution.abandon();
            }
        }

        private synchronized boolean markEnded() {
            final boolean first = !ended;
            ended = true;
            return first;
        }
    }

    /** Claim on a call that has run before and whose answer is stored. */
    private record AnsweredClaim(String idempotencyKey, StoredAnswer storedAnswer)
            implements Claim {
        @Override
        public CompletableFuture<Void> startSending() {
            throw new IllegalStateException("call has a stored answer and must not be sent again");
        }

        @Override
        public CompletableFuture<Void> complete(StoredAnswer answer) {
            throw new IllegalStateException("call has a stored answer already");
        }

        @Override
        public void release() {
            // No claim is held.
        }

        @Override
        public void abandon() {
            // No claim is held.
        }
    }
}
