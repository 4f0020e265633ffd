package org.crocushaven.configuration.check;

import java.util.Set;

/** A rule about a TOML document; the engine calls it for each node at one of its paths. */
public interface Check {
    /** Registers a check for the nodes of every path. */
    String EVERY_PATH = "**";

    /** Path of the root table. */
    String ROOT_PATH = "";

    /**
     * Returns the paths of the nodes to visit, such as {@code limits.maximum_body_bytes}; elements
     * of arrays have the path of the array followed by {@code []}.
     */
    Set<String> paths();

    /** Checks one node and logs a violation for each error in it. */
    void visit(TomlNode node, ViolationLog log);
}
