package org.crocushaven.configuration.check;

import java.text.MessageFormat;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.ResourceBundle;

/** Collects the violations that one check finds in one file. */
public final class ViolationLog {
    private final String file;
    private final Class<?> owner;
    private final List<Violation> violations;

    private ViolationLog(String file, Class<?> owner, List<Violation> violations) {
        this.file = file;
        this.owner = owner;
        this.violations = violations;
    }

    /**
     * Returns a log whose message texts come from the resource bundle in the package of the owner.
     */
    public static ViolationLog of(String file, Class<?> owner, List<Violation> violations) {
        return new ViolationLog(file, owner, violations);
    }

    /** Logs a violation at a node, with the text for a message key. */
    public void add(TomlNode node, String messageKey, Object... arguments) {
        add(node.line(), node.key(), messageKey, arguments);
    }

    /** Logs a violation at a line, with the text for a message key. */
    public void add(int line, String key, String messageKey, Object... arguments) {
        final ResourceBundle bundle =
                ResourceBundle.getBundle(
                        owner.getPackageName() + ".messages", Locale.ROOT, owner.getClassLoader());
        final Object[] texts = Arrays.stream(arguments).map(String::valueOf).toArray();
        final String text =
                new MessageFormat(bundle.getString(messageKey), Locale.ROOT).format(texts);
        violations.add(new Violation(file, line, key, text));
    }
}
