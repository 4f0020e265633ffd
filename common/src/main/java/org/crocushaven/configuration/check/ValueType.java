package org.crocushaven.configuration.check;

import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** The types of TOML values that the project's files use. */
public enum ValueType {
    STRING("a string"),
    INTEGER("an integer"),
    NUMBER("a number"),
    BOOLEAN("true or false"),
    ARRAY("an array"),
    TABLE("a table"),
    /** Dates and times, which are not allowed for any key. */
    OTHER("a date or time");

    private final String description;

    ValueType(String description) {
        this.description = description;
    }

    /** Returns the type of a parsed value; a float is a {@link #NUMBER}. */
    static ValueType of(Object value) {
        if (value instanceof String) {
            return STRING;
        }
        if (value instanceof Long) {
            return INTEGER;
        }
        if (value instanceof Double) {
            return NUMBER;
        }
        if (value instanceof Boolean) {
            return BOOLEAN;
        }
        if (value instanceof TomlArray) {
            return ARRAY;
        }
        return value instanceof TomlTable ? TABLE : OTHER;
    }

    /** Returns whether a value of the given type is allowed where this type is expected. */
    boolean accepts(ValueType actual) {
        return actual == this || this == NUMBER && actual == INTEGER;
    }

    /** Returns the description of the type that messages contain. */
    public String description() {
        return description;
    }
}
