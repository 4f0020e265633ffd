package org.crocushaven.configuration.check;

import java.util.ArrayList;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * A parsed TOML file.
 *
 * @param file name of the file as given
 * @param root the root table; incomplete when there are syntax errors
 * @param syntaxErrors syntax errors, including duplicate keys
 */
public record TomlDocument(String file, TomlNode root, List<Violation> syntaxErrors) {
    private static final String MESSAGE_SYNTAX = "toml.syntax";

    public TomlDocument {
        syntaxErrors = List.copyOf(syntaxErrors);
    }

    /** Parses the text of a file. */
    public static TomlDocument parse(String file, String text) {
        final TomlParseResult result = Toml.parse(text);
        final List<Violation> errors = new ArrayList<>();
        final ViolationLog log = ViolationLog.of(file, TomlDocument.class, errors);
        for (final TomlParseError error : result.errors()) {
            log.add(error.position().line(), "", MESSAGE_SYNTAX, error.getMessage());
        }
        return new TomlDocument(file, TomlNode.root(result), errors);
    }
}
