package org.crocushaven.security;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.KeyGrant;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Checks keys and determines the organisation of a request. */
public final class KeyCheck {
    private final FreshnessBound freshness;

    private KeyCheck(FreshnessBound freshness) {
        this.freshness = freshness;
    }

    /** Returns a check that accepts keys only while the control state is fresh. */
    public static KeyCheck of(FreshnessBound freshness) {
        return new KeyCheck(freshness);
    }

    /**
     * Returns the organisation of a request; empty only for a request without a key on an open
     * route.
     *
     * <p>A key that is sent to an open route is checked too, so that a caller with a wrong key is
     * refused. When the key cannot be checked because the control state is stale, an open route
     * serves the request without an organisation.
     *
     * @throws ResultException when the request must not run
     */
    public Optional<Organisation> check(
            FleetConfiguration configuration, Optional<KeyHash> key, boolean open) {
        if (key.isEmpty() && !open) {
            throw ResultException.of(ResultCode.KEY_MISSING);
        }
        if (key.isEmpty()) {
            return Optional.empty();
        }
        if (!freshness.isFresh()) {
            if (open) {
                return Optional.empty();
            }
            throw ResultException.of(ResultCode.CONTROL_STATE_STALE, freshness.ageMillis());
        }
        final KeyGrant grant = find(configuration, key.get());
        final Organisation organisation = configuration.organisations().get(grant.organisation());
        if (organisation == null) {
            throw ResultException.of(ResultCode.KEY_UNKNOWN);
        }
        return Optional.of(organisation);
    }

    /**
     * Checks that the organisation may use the adapter. An adapter without organisations may be
     * used by all callers.
     *
     * @throws ResultException when it may not
     */
    public void checkPermitted(Adapter adapter, Optional<Organisation> organisation) {
        final boolean permitted =
                adapter.organisations().isEmpty()
                        || organisation
                                .filter(known -> adapter.organisations().contains(known.name()))
                                .isPresent();
        if (!permitted) {
            throw ResultException.of(
                    ResultCode.NOT_PERMITTED,
                    organisation.map(Organisation::name).orElse("(none)"),
                    adapter.name());
        }
    }

    private static KeyGrant find(FleetConfiguration configuration, KeyHash presented) {
        final Optional<KeyGrant> grant = configuration.key(presented);
        if (grant.isEmpty() || !sameHash(grant.get().hash(), presented)) {
            throw ResultException.of(ResultCode.KEY_UNKNOWN);
        }
        if (grant.get().withdrawn()) {
            throw ResultException.of(ResultCode.KEY_WITHDRAWN);
        }
        return grant.get();
    }

    private static boolean sameHash(KeyHash held, KeyHash presented) {
        return MessageDigest.isEqual(
                held.hex().getBytes(StandardCharsets.US_ASCII),
                presented.hex().getBytes(StandardCharsets.US_ASCII));
    }
}
