package org.crocushaven.configuration.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** A value of a TOML document with its path in the document and its line in the file. */
public final class TomlNode {
    private static final int FIRST_LINE = 1;

    private final String path;
    private final String key;
    private final Object value;
    private final int line;

    private TomlNode(String path, String key, Object value, int line) {
        this.path = path;
        this.key = key;
        this.value = value;
        this.line = line;
    }

    /** Returns the root node of a document. */
    static TomlNode root(TomlTable table) {
        return new TomlNode(Check.ROOT_PATH, "", table, FIRST_LINE);
    }

    /** Returns the path, in which array elements have no indexes. */
    public String path() {
        return path;
    }

    /**
     * Returns the key that messages contain: the path with the indexes of array elements, counted
     * from 1.
     */
    public String key() {
        return key;
    }

    /** Returns the line in the file, counted from 1. */
    public int line() {
        return line;
    }

    /** Returns the type of the value. */
    public ValueType type() {
        return ValueType.of(value);
    }

    /** Returns the value, or empty when it is not a string. */
    public Optional<String> text() {
        return as(String.class);
    }

    /** Returns the value, or empty when it is not an integer. */
    public Optional<Long> integer() {
        return as(Long.class);
    }

    /** Returns the value as a number, or empty when it is neither a float nor an integer. */
    public Optional<Double> number() {
        return as(Number.class).map(Number::doubleValue);
    }

    /** Returns the value, or empty when it is not a boolean. */
    public Optional<Boolean> flag() {
        return as(Boolean.class);
    }

    /** Returns the member of a table, or empty when there is none or this is not a table. */
    public Optional<TomlNode> child(String name) {
        return children().stream()
                .filter(child -> child.path.equals(childPath(path, name)))
                .findFirst();
    }

    /** Returns the members of a table or the elements of an array, in the order of the file. */
    public List<TomlNode> children() {
        if (value instanceof TomlTable table) {
            return members(table);
        }
        if (value instanceof TomlArray array) {
            return elements(array);
        }
        return List.of();
    }

    /** Returns the elements of the named array of this table that are strings. */
    public List<String> texts(String name) {
        return child(name).map(TomlNode::children).orElse(List.of()).stream()
                .flatMap(element -> element.text().stream())
                .toList();
    }

    private <T> Optional<T> as(Class<T> type) {
        return type.isInstance(value) ? Optional.of(type.cast(value)) : Optional.empty();
    }

    private List<TomlNode> members(TomlTable table) {
        final List<TomlNode> members = new ArrayList<>();
        for (final String name : table.keySet()) {
            final List<String> keyPath = List.of(name);
            members.add(
                    new TomlNode(
                            childPath(path, name),
                            childPath(key, name),
                            table.get(keyPath),
                            lineOf(table.inputPositionOf(keyPath))));
        }
        return members;
    }

    private List<TomlNode> elements(TomlArray array) {
        final List<TomlNode> elements = new ArrayList<>();
        for (int index = 0; index < array.size(); index++) {
            elements.add(
                    new TomlNode(
                            path + "[]",
                            key + "[" + (index + 1) + "]",
                            array.get(index),
                            lineOf(array.inputPositionOf(index))));
        }
        return elements;
    }

    private int lineOf(TomlPosition position) {
        return position == null ? line : position.line();
    }

    private static String childPath(String parent, String name) {
        return parent.isEmpty() ? name : parent + "." + name;
    }
}
