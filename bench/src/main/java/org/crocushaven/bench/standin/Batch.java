package org.crocushaven.bench.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Runs sequences as a continuous batch: each step reads at most {@value #PROMPT_TOKENS_PER_STEP}
 * prompt tokens and generates one token for every sequence whose prompt has been read.
 *
 * <p>Confined to one event loop.
 */
final class Batch {
    private static final int PROMPT_TOKENS_PER_STEP = 512;
    private static final int MAXIMUM_WAITING_PER_CONCURRENT_REQUEST = 4;
    private static final long STALL_CHECK_MILLIS = 20;

    private final EventLoop eventLoop;
    private final EngineSettings settings;
    private final RunLog log;
    private final Supplier<EngineFaults> faults;
    private final List<Sequence> running = new ArrayList<>();
    private final List<Sequence> waiting = new ArrayList<>();
    private boolean stepScheduled;

    Batch(EventLoop eventLoop, EngineSettings settings, RunLog log, Supplier<EngineFaults> faults) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.log = log;
        this.faults = faults;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    boolean hasWaitingCapacity() {
        return waiting.size()
                < settings.concurrentRequests() * MAXIMUM_WAITING_PER_CONCURRENT_REQUEST;
    }

    boolean uses(String model) {
        return busyModels().contains(model);
    }

    Set<String> busyModels() {
        final Set<String> models = new TreeSet<>();
        running.forEach(sequence -> models.add(sequence.model()));
        waiting.forEach(sequence -> models.add(sequence.model()));
        return models;
    }

    void add(Sequence sequence) {
        waiting.add(sequence);
        sequence.exchange().onClose(() -> remove(sequence, "caller_gone"));
        admit();
        scheduleStep();
    }

    /** Removes the matching sequences, closes their connections and returns their number. */
    int cancel(Predicate<Sequence> condition) {
        final List<Sequence> matching = new ArrayList<>(running);
        matching.addAll(waiting);
        matching.removeIf(condition.negate());
        for (final Sequence sequence : matching) {
            remove(sequence, "cancelled");
            sequence.exchange().cut();
        }
        return matching.size();
    }

    private void remove(Sequence sequence, String outcome) {
        if (running.remove(sequence) || waiting.remove(sequence)) {
            log.endRun(sequence.runIndex(), outcome);
            log.count(outcome);
            admit();
        }
    }

    /**
     * Moves waiting sequences into the batch, the most urgent (lowest number) first and equally
     * urgent ones in order of arrival.
     */
    private void admit() {
        while (running.size() < settings.concurrentRequests() && !waiting.isEmpty()) {
            final Sequence next =
                    waiting.stream().min(Comparator.comparingInt(Sequence::urgency)).orElseThrow();
            waiting.remove(next);
            running.add(next);
            next.beginAnswer();
        }
    }

    private void scheduleStep() {
        if (stepScheduled || running.isEmpty()) {
            return;
        }
        stepScheduled = true;
        if (faults.get().stalled()) {
            eventLoop.schedule(this::retryStep, STALL_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        final long micros = stepDurationMicros() * faults.get().slowFactor();
        if (micros == 0) {
            eventLoop.execute(this::step);
        } else {
            eventLoop.schedule(this::step, micros, TimeUnit.MICROSECONDS);
        }
    }

    private long stepDurationMicros() {
        final int promptTokens = running.stream().mapToInt(Sequence::unreadPromptTokens).sum();
        final EngineSettings.StepSpeed speed = settings.speed();
        return speed.stepMicros()
                + speed.sequenceMicros() * running.size()
                + speed.prefillTokenMicros() * Math.min(promptTokens, PROMPT_TOKENS_PER_STEP);
    }

    private void retryStep() {
        stepScheduled = false;
        scheduleStep();
    }

    private void step() {
        stepScheduled = false;
        int promptTokenBudget = PROMPT_TOKENS_PER_STEP;
        final int cutAfterTokens = faults.get().cutAfterTokens();
        for (final Iterator<Sequence> iterator = running.iterator(); iterator.hasNext(); ) {
            final Sequence sequence = iterator.next();
            promptTokenBudget -= sequence.readPrompt(promptTokenBudget);
            if (sequence.unreadPromptTokens() > 0) {
                continue;
            }
            sequence.generateToken();
            if (cutAfterTokens > 0 && sequence.generatedTokens() >= cutAfterTokens) {
                iterator.remove();
                log.endRun(sequence.runIndex(), "cut");
                sequence.exchange().cut();
            } else if (sequence.finished()) {
                iterator.remove();
                log.endRun(sequence.runIndex(), "finished");
                log.count("finished");
                sequence.endAnswer();
            }
        }
        admit();
        scheduleStep();
    }
}
