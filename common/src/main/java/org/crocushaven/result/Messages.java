package org.crocushaven.result;

import java.text.MessageFormat;
import java.util.Arrays;
import java.util.Locale;
import java.util.ResourceBundle;

/**
 * Looks up the text of a result code in {@code messages.properties}, keyed by the code's name.
 *
 * <p>Texts are patterns of {@link MessageFormat}, with placeholders such as {@code {0}}.
 */
public final class Messages {
    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.crocushaven.result.messages", Locale.ROOT);

    private Messages() {}

    /** Returns the text of the code with its placeholders replaced by the arguments. */
    public static String format(ResultCode code, Object... arguments) {
        final Object[] texts = Arrays.stream(arguments).map(String::valueOf).toArray();
        return new MessageFormat(BUNDLE.getString(code.name()), Locale.ROOT).format(texts);
    }

    /** Returns the text of the code with its placeholders. */
    public static String template(ResultCode code) {
        return BUNDLE.getString(code.name());
    }
}
