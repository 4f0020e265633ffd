package org.crocushaven.publishing;

import org.crocushaven.configuration.Change;

/** Applies changes of one type. */
interface ChangeHandler<C extends Change> {
    /**
     * Returns the state after the change, with the revision increased by one.
     *
     * @throws org.crocushaven.result.ResultException when the change is refused in this state
     */
    ConfigurationState apply(ConfigurationState state, C change);
}
