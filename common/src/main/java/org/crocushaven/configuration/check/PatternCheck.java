package org.crocushaven.configuration.check;

import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.crocushaven.configuration.PublicationRules;

/** Checks that a string matches a pattern. */
public final class PatternCheck implements Check {
    private static final String MESSAGE_PATTERN = "value.pattern";
    private static final String SECRET_VALUE = "…";

    private final String path;
    private final Pattern pattern;
    private final String allowed;
    private final boolean secret;

    private PatternCheck(String path, Pattern pattern, String allowed, boolean secret) {
        this.path = path;
        this.pattern = pattern;
        this.allowed = allowed;
        this.secret = secret;
    }

    /**
     * Returns a check against a pattern; violations show the given description of what is allowed.
     */
    public static PatternCheck of(String path, Pattern pattern, String allowed) {
        return new PatternCheck(path, pattern, allowed, false);
    }

    /** Returns a check whose violations do not show the value. */
    public static PatternCheck ofSecret(String path, Pattern pattern, String allowed) {
        return new PatternCheck(path, pattern, allowed, true);
    }

    /** Returns a check that the value is a name. */
    public static PatternCheck name(String path) {
        return new PatternCheck(path, PublicationRules.NAME, PublicationRules.NAME_ALLOWED, false);
    }

    @Override
    public Set<String> paths() {
        return Set.of(path);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<String> text = node.text();
        if (text.isPresent() && !pattern.matcher(text.get()).matches()) {
            log.add(node, MESSAGE_PATTERN, secret ? SECRET_VALUE : text.get(), allowed);
        }
    }
}
