package org.crocushaven.daemon;

import java.util.List;

/** Numbers of the replicated groups. */
final class ControlGroups {
    /** Group of the configuration; its leader manages the sessions. */
    static final int CONFIGURATION = 0;

    /** Group of the claims of non-idempotent calls. */
    static final int CLAIMS = 1;

    /** Every group that a voter hosts. */
    static final List<Integer> ALL = List.of(CONFIGURATION, CLAIMS);

    private ControlGroups() {}
}
