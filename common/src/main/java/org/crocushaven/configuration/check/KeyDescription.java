package org.crocushaven.configuration.check;

/**
 * Describes a key that a file may contain.
 *
 * @param path path of the key, with {@code []} for the elements of an array
 * @param type type of its value
 * @param required whether the table at the parent path must contain the key
 */
public record KeyDescription(String path, ValueType type, boolean required) {
    /** Returns the description of an optional key. */
    public static KeyDescription optional(String path, ValueType type) {
        return new KeyDescription(path, type, false);
    }

    /** Returns the description of a key that each table at its parent path must contain. */
    public static KeyDescription required(String path, ValueType type) {
        return new KeyDescription(path, type, true);
    }

    /** Returns the path of the table or array that contains this key. */
    public String parent() {
        if (path.endsWith("[]")) {
            return path.substring(0, path.length() - 2);
        }
        return path.substring(0, Math.max(0, path.lastIndexOf('.')));
    }

    /** Returns the last segment of the path. */
    public String name() {
        return path.substring(path.lastIndexOf('.') + 1);
    }
}
