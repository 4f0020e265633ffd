package org.crocushaven.configuration.servicefile;

import java.util.List;
import org.crocushaven.configuration.check.Violation;

/** A rule about all collected files together. */
interface CollectionCheck {
    /** Adds a violation for each error. */
    void check(ServiceFile collected, List<Violation> violations);
}
