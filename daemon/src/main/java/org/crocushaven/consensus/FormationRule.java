package org.crocushaven.consensus;

/** Says which of its first voters must vote before a new group has its first leader. */
public enum FormationRule {
    /**
     * All of them. A first voter may have lost its disk and still be listed as one, so that its
     * vote says nothing of what it held.
     */
    ALL_FIRST_VOTERS,

    /**
     * More than half of them. A replica counts as a first voter only with the list on its own disk,
     * or at the very first start of the group, so that one that lost its disk has no vote.
     */
    MAJORITY
}
