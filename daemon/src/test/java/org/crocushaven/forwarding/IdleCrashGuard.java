package org.crocushaven.forwarding;

import org.agrona.concurrent.SystemNanoClock;

/** Creates guards for tests without a leader, in which no part of a prompt is condemned. */
final class IdleCrashGuard {
    private IdleCrashGuard() {}

    static CrashGuard create() {
        return new CrashGuard(SystemNanoClock.INSTANCE, (start, then) -> {}, () -> {});
    }
}
