package org.crocushaven.operator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.publishing.ChangeCodec;
import org.crocushaven.publishing.ConfigurationStateMachine;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.status.BackendStatus;
import org.crocushaven.status.ExplainedDecision;
import org.crocushaven.status.Explanation;
import org.crocushaven.status.FleetStatus;
import org.crocushaven.status.InstanceStatus;
import org.crocushaven.status.VoterStatus;

/**
 * Simulates a fleet of two instances and one engine. Changes are applied to the real state machine,
 * but are not replicated.
 */
public final class FakeControlPlane
        implements ControlPlane, Explanations, PlatformProbe, MetricsSource {
    private static final String OPERATOR_KEY_HASH =
            org.crocushaven.configuration.KeyHash.ofKey("operator-key").hex();

    private final ConfigurationStateMachine machine = ConfigurationStateMachine.create();
    private final ChangeCodec codec = new ChangeCodec();
    private long index;
    private boolean losesNextAnswer;
    private Optional<String> notReadyReason = Optional.empty();

    /**
     * Returns the environment of an operator server for this fleet, with the key "operator-key".
     */
    public OperatorEnvironment environment() {
        return new OperatorEnvironment("a1", OPERATOR_KEY_HASH, this, this, this, this);
    }

    /** Makes the next change commit, but fail with an unknown outcome. */
    public void loseNextAnswer() {
        losesNextAnswer = true;
    }

    /** Makes the instance not ready for the given reason. */
    public void notReady(String reason) {
        notReadyReason = Optional.of(reason);
    }

    @Override
    public synchronized CompletableFuture<ChangeAnswer> submit(NumberedChange change) {
        index++;
        final ChangeAnswer answer;
        try {
            answer = codec.decodeAnswer(machine.apply(index, codec.encodeChange(change)));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        if (losesNextAnswer) {
            losesNextAnswer = false;
            return CompletableFuture.failedFuture(
                    ResultException.of(ResultCode.CHANGE_OUTCOME_UNKNOWN));
        }
        return CompletableFuture.completedFuture(answer);
    }

    @Override
    public FleetConfiguration configuration() {
        return machine.configuration();
    }

    @Override
    public FleetStatus status() {
        return new FleetStatus(
                "a1",
                machine.configuration().revision(),
                Optional.of("b1"),
                3,
                120,
                List.of(instance("a1", "a", 7101), instance("b1", "b", 7111)));
    }

    @Override
    public List<BackendStatus> backends() {
        return List.of(
                new BackendStatus(
                        "e1",
                        "chat",
                        "a",
                        "127.0.0.1:9001",
                        machine.configuration().drained().contains("e1") ? "drained" : "serving",
                        17,
                        3,
                        0,
                        8,
                        List.of("notes@2"),
                        Optional.of("a1")));
    }

    @Override
    public List<VoterStatus> voters() {
        return List.of(
                new VoterStatus("a1", "a", "alive", false),
                new VoterStatus("b1", "b", "alive", true));
    }

    @Override
    public CompletableFuture<Void> addVoter(String instance) {
        return completeIfKnown(instance);
    }

    @Override
    public CompletableFuture<Void> removeVoter(String instance) {
        return completeIfKnown(instance);
    }

    @Override
    public CompletableFuture<Void> drainInstance(String instance) {
        return completeIfKnown(instance);
    }

    @Override
    public CompletableFuture<Optional<Explanation>> explain(String requestId) {
        if (!requestId.equals("a1-7")) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return CompletableFuture.completedFuture(
                Optional.of(
                        new Explanation(
                                requestId,
                                List.of(
                                        new ExplainedDecision(
                                                "a1",
                                                1_796_335_200_000L,
                                                "event=route request=a1-7 backend=e1"
                                                        + " reason=loaded")))));
    }

    @Override
    public Optional<String> notReadyReason() {
        return notReadyReason;
    }

    @Override
    public String mediaType() {
        return "text/plain; version=0.0.4";
    }

    @Override
    public byte[] scrape() {
        return "crocushaven_revision 0.0\n".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    private static InstanceStatus instance(String name, String failureDomain, int port) {
        return new InstanceStatus(
                name,
                failureDomain,
                "alive",
                true,
                5,
                "127.0.0.1:" + port,
                "127.0.0.1:" + (port + 1));
    }

    private static CompletableFuture<Void> completeIfKnown(String instance) {
        if (instance.equals("a1") || instance.equals("b1")) {
            return CompletableFuture.completedFuture(null);
        }
        return CompletableFuture.failedFuture(
                ResultException.of(ResultCode.UNKNOWN_INSTANCE, instance));
    }
}
