package org.crocushaven.configuration.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Walks a document depth first and dispatches each node to the checks registered for its path. */
public final class CheckEngine {
    private final Map<String, List<Check>> checksByPath = new HashMap<>();

    private CheckEngine(Collection<Check> checks) {
        for (final Check check : checks) {
            for (final String path : check.paths()) {
                checksByPath.computeIfAbsent(path, key -> new ArrayList<>()).add(check);
            }
        }
    }

    /** Returns an engine with the given checks. */
    public static CheckEngine of(Collection<Check> checks) {
        return new CheckEngine(checks);
    }

    /**
     * Returns every violation in the document, sorted by line; only the syntax errors when the text
     * is not valid TOML.
     */
    public List<Violation> run(TomlDocument document) {
        if (!document.syntaxErrors().isEmpty()) {
            return document.syntaxErrors();
        }
        final List<Violation> violations = new ArrayList<>();
        walk(document.root(), document.file(), violations);
        return violations.stream().sorted().toList();
    }

    private void walk(TomlNode node, String file, List<Violation> violations) {
        dispatch(Check.EVERY_PATH, node, file, violations);
        dispatch(node.path(), node, file, violations);
        for (final TomlNode child : node.children()) {
            walk(child, file, violations);
        }
    }

    private void dispatch(String path, TomlNode node, String file, List<Violation> violations) {
        for (final Check check : checksByPath.getOrDefault(path, List.of())) {
            check.visit(node, ViolationLog.of(file, check.getClass(), violations));
        }
    }
}
