package org.crocushaven.operator;

import java.util.Optional;

/** Answers the readiness probe of the platform. */
public interface PlatformProbe {
    /** Returns why the instance should receive no traffic; empty if it is ready. */
    Optional<String> notReadyReason();
}
