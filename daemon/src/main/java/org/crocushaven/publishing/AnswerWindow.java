package org.crocushaven.publishing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Keeps the answers to the latest changes, by operator and change number.
 *
 * <p>When the window is full, the oldest answer is removed and its change number is forgotten: only
 * the highest forgotten number of each operator is kept. A number that is not above it and has no
 * answer in the window is refused, so that no change is applied twice.
 */
final class AnswerWindow {
    /** Maximum number of answers kept, over all operators. */
    static final int CAPACITY = 8_192;

    private final int capacity;
    private final Map<ChangeIdentifier, RememberedAnswer> answers = new LinkedHashMap<>();
    private final Map<String, Long> highestForgottenNumbers = new TreeMap<>();

    AnswerWindow(int capacity) {
        this.capacity = capacity;
    }

    /** Returns a window with the given contents, oldest answer first. */
    static AnswerWindow of(
            int capacity,
            List<RememberedAnswer> rememberedAnswers,
            Map<String, Long> highestForgottenNumbers) {
        final AnswerWindow window = new AnswerWindow(capacity);
        rememberedAnswers.forEach(window::remember);
        window.highestForgottenNumbers.putAll(highestForgottenNumbers);
        return window;
    }

    /**
     * Returns the stored answer to a change that was sent before, or empty when the number is new.
     *
     * @throws ResultException with {@code CHANGE_NUMBER_REUSED} when the content differs from that
     *     of the earlier change, with {@code CHANGE_NUMBER_FORGOTTEN} when the number has no answer
     *     in the window and is not above the highest forgotten number of the operator
     */
    Optional<ChangeAnswer> find(String operator, long number, String digest) {
        final RememberedAnswer remembered = answers.get(new ChangeIdentifier(operator, number));
        if (remembered != null) {
            if (!remembered.digest().equals(digest)) {
                throw ResultException.of(ResultCode.CHANGE_NUMBER_REUSED, number);
            }
            return Optional.of(remembered.answer());
        }
        final Long highestForgotten = highestForgottenNumbers.get(operator);
        if (highestForgotten != null && number <= highestForgotten) {
            throw ResultException.of(ResultCode.CHANGE_NUMBER_FORGOTTEN, number, highestForgotten);
        }
        return Optional.empty();
    }

    /** Stores an answer and removes the oldest one when the capacity is exceeded. */
    void remember(RememberedAnswer answer) {
        answers.put(new ChangeIdentifier(answer.operator(), answer.number()), answer);
        if (answers.size() > capacity) {
            final Iterator<RememberedAnswer> oldestFirst = answers.values().iterator();
            final RememberedAnswer oldest = oldestFirst.next();
            oldestFirst.remove();
            highestForgottenNumbers.merge(oldest.operator(), oldest.number(), Math::max);
        }
    }

    /** Returns the answers kept, oldest first. */
    List<RememberedAnswer> rememberedAnswers() {
        return List.copyOf(answers.values());
    }

    /** Returns the highest forgotten change number of each operator. */
    Map<String, Long> highestForgottenNumbers() {
        return Map.copyOf(highestForgottenNumbers);
    }

    private record ChangeIdentifier(String operator, long number) {}
}
