package org.crocushaven.publishing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.configuration.PublicationRules;
import org.crocushaven.consensus.StateMachine;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Applies numbered changes to the fleet's configuration.
 *
 * <p>Commands must be applied from a single thread; {@link #configuration()} may be called from any
 * thread. An accepted change increases the revision by one; a refused change leaves the
 * configuration unchanged. The answers to the latest changes of both kinds are kept, so that a
 * change that is sent again gets the answer to its first delivery.
 */
public final class ConfigurationStateMachine implements StateMachine {
    private static final String DETAIL_ACCEPTED = "accepted";
    private static final int MAXIMUM_DETAIL_LENGTH = 1_000;

    private final ChangeCodec codec = new ChangeCodec();
    private final CompactEncoding encoding = new CompactEncoding();
    private final ChangeHandlers handlers = new ChangeHandlers();
    private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
    private final int windowCapacity;
    private AnswerWindow window;
    private volatile ConfigurationState state = ConfigurationState.empty();

    private ConfigurationStateMachine(int windowCapacity) {
        this.windowCapacity = windowCapacity;
        window = new AnswerWindow(windowCapacity);
    }

    /** Returns a state machine with the empty configuration. */
    public static ConfigurationStateMachine create() {
        return new ConfigurationStateMachine(AnswerWindow.CAPACITY);
    }

    /** Returns a state machine that keeps at most the given number of answers. */
    static ConfigurationStateMachine withWindow(int capacity) {
        return new ConfigurationStateMachine(capacity);
    }

    /**
     * Returns the configuration in force on this instance; its revision never decreases while the
     * process runs.
     */
    public FleetConfiguration configuration() {
        return state.configuration();
    }

    /** Adds a listener that is notified of every configuration that comes into force later. */
    public void addListener(ConfigurationListener listener) {
        listeners.add(listener);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        return codec.encodeAnswer(answer(command));
    }

    @Override
    public byte[] snapshot() {
        return encoding.encode(ConfigurationSnapshot.of(state, window));
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        final ConfigurationSnapshot restored;
        try {
            restored = encoding.decode(snapshot, ConfigurationSnapshot.class);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        window = restored.window(windowCapacity);
        replaceState(restored.state());
    }

    private ChangeAnswer answer(byte[] command) {
        final NumberedChange change;
        try {
            change = codec.decodeChange(command);
        } catch (IOException failure) {
            return refusal(ResultException.of(ResultCode.CHANGE_INVALID, "not an encoded change"));
        }
        if (!PublicationRules.NAME.matcher(change.operator()).matches()) {
            return refusal(
                    ResultException.of(
                            ResultCode.CHANGE_INVALID,
                            "names of operators: " + PublicationRules.NAME_ALLOWED));
        }
        final String digest = codec.digest(change.change());
        final Optional<ChangeAnswer> remembered;
        try {
            remembered = window.find(change.operator(), change.number(), digest);
        } catch (ResultException refused) {
            return refusal(refused);
        }
        return remembered.orElseGet(() -> applyNew(change, digest));
    }

    private ChangeAnswer applyNew(NumberedChange change, String digest) {
        final ChangeAnswer answer = applyChange(change);
        window.remember(new RememberedAnswer(change.operator(), change.number(), digest, answer));
        return answer;
    }

    private ChangeAnswer applyChange(NumberedChange change) {
        final ConfigurationState next;
        try {
            next = handlers.apply(state, change.change());
        } catch (ResultException refused) {
            return refusal(refused);
        }
        replaceState(next);
        return ChangeAnswer.of(ResultCode.OK, next.configuration().revision(), DETAIL_ACCEPTED);
    }

    private void replaceState(ConfigurationState next) {
        state = next;
        for (final ConfigurationListener listener : listeners) {
            listener.configurationApplied(next.configuration());
        }
    }

    private ChangeAnswer refusal(ResultException refused) {
        final String detail = refused.getMessage();
        final int length = Math.min(MAXIMUM_DETAIL_LENGTH, detail.length());
        return ChangeAnswer.of(
                refused.code(), state.configuration().revision(), detail.substring(0, length));
    }
}
