package org.crocushaven.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipView;
import org.crocushaven.observability.DecisionLog;
import org.crocushaven.observability.ExplainAnswer;
import org.crocushaven.observability.ExplainQuery;
import org.crocushaven.operator.Explanations;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultException;
import org.crocushaven.status.ExplainedDecision;
import org.crocushaven.status.Explanation;

/** Collects the decisions about a request from every instance that answers. */
final class FleetExplanations implements Explanations {
    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(500);

    private final MembershipView membership;
    private final PeerTransport transport;
    private final DecisionLog decisions;

    FleetExplanations(MembershipView membership, PeerTransport transport, DecisionLog decisions) {
        this.membership = membership;
        this.transport = transport;
        this.decisions = decisions;
    }

    /** Registers the handler for queries of other instances. */
    void attach() {
        transport.registerHandler(
                ExplainQuery.class,
                (sender, query) ->
                        CompletableFuture.completedFuture(
                                new ExplainAnswer(localDecisions(query.requestId()))));
    }

    @Override
    public CompletableFuture<Optional<Explanation>> explain(String requestId) {
        final List<CompletableFuture<List<ExplainedDecision>>> answers =
                membership.instances().stream()
                        .filter(record -> record.state().isReachable())
                        .map(InstanceRecord::name)
                        .map(instance -> ask(instance, requestId))
                        .toList();
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(done -> merge(requestId, answers));
    }

    private CompletableFuture<List<ExplainedDecision>> ask(String instance, String requestId) {
        return transport
                .request(instance, new ExplainQuery(requestId), QUERY_TIMEOUT)
                .thenApply(answer -> decisionsOf(instance, answer))
                .exceptionally(failure -> List.of());
    }

    private List<DecisionLog.TimedDecision> localDecisions(String requestId) {
        try {
            return decisions.explain(requestId);
        } catch (ResultException unknown) {
            return List.of();
        }
    }

    private static List<ExplainedDecision> decisionsOf(String instance, Message answer) {
        return ((ExplainAnswer) answer)
                .decisions().stream()
                        .map(
                                decision ->
                                        new ExplainedDecision(
                                                instance, decision.epochMillis(), decision.line()))
                        .toList();
    }

    private static Optional<Explanation> merge(
            String requestId, List<CompletableFuture<List<ExplainedDecision>>> answers) {
        final List<ExplainedDecision> merged = new ArrayList<>();
        answers.forEach(answer -> merged.addAll(answer.join()));
        merged.sort(Comparator.comparingLong(ExplainedDecision::epochMillis));
        return merged.isEmpty()
                ? Optional.empty()
                : Optional.of(new Explanation(requestId, merged));
    }
}
