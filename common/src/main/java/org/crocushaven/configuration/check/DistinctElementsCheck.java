package org.crocushaven.configuration.check;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Checks that the elements of an array are distinct; tables are compared by one of their members.
 */
public final class DistinctElementsCheck implements Check {
    private static final String MESSAGE_DUPLICATE = "element.duplicate";

    private final String path;
    private final Optional<String> member;

    private DistinctElementsCheck(String path, Optional<String> member) {
        this.path = path;
        this.member = member;
    }

    /** Returns a check of an array of strings. */
    public static DistinctElementsCheck ofTexts(String path) {
        return new DistinctElementsCheck(path, Optional.empty());
    }

    /** Returns a check of an array of tables, compared by the named member. */
    public static DistinctElementsCheck ofTables(String path, String member) {
        return new DistinctElementsCheck(path, Optional.of(member));
    }

    @Override
    public Set<String> paths() {
        return Set.of(path);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Map<String, Integer> firstLines = new HashMap<>();
        for (final TomlNode element : node.children()) {
            final Optional<TomlNode> compared =
                    member.isPresent() ? element.child(member.get()) : Optional.of(element);
            compared.ifPresent(value -> compare(value, firstLines, log));
        }
    }

    private static void compare(TomlNode value, Map<String, Integer> firstLines, ViolationLog log) {
        final Optional<String> text = value.text();
        if (text.isEmpty()) {
            return;
        }
        final Integer firstLine = firstLines.putIfAbsent(text.get(), value.line());
        if (firstLine != null) {
            log.add(value, MESSAGE_DUPLICATE, text.get(), firstLine);
        }
    }
}
