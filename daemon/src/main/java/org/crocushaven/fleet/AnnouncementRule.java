package org.crocushaven.fleet;

import org.crocushaven.configuration.check.IpAddress;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Refuses announcements that name a backend server which cannot be called, or whose numbers would
 * make all later announcements count as older.
 *
 * <p>Applies to what backend servers send and to what other instances pass on, since an instance of
 * another software version may check less.
 */
public final class AnnouncementRule {
    /** Maximum number of requests that one backend server runs concurrently. */
    public static final int MAXIMUM_REQUEST_SLOTS = 1_000_000;

    /** Largest whole number that every JSON implementation represents exactly. */
    public static final long MAXIMUM_NUMBER = (1L << 53) - 1;

    private AnnouncementRule() {}

    /**
     * Requires that an announcement names a backend server that can be called.
     *
     * @throws ResultException with {@code ANNOUNCEMENT_INVALID}, which names the field and its
     *     bounds
     */
    static void requireUsable(BackendAnnouncement announcement) {
        if (announcement.isDeregistration()) {
            return;
        }
        requireWithin("port", announcement.port(), 1, IpAddress.MAXIMUM_PORT);
        if (!IpAddress.isValidSocketAddress(announcement.address())) {
            throw invalid("host " + announcement.host() + " is not an IP address");
        }
        requireWithin("slots", announcement.requestSlots(), 0, MAXIMUM_REQUEST_SLOTS);
        requireWithin("start", announcement.startedMillis(), 0, MAXIMUM_NUMBER);
        requireWithin("sequence", announcement.sequence(), 0, MAXIMUM_NUMBER);
    }

    private static void requireWithin(String field, long value, long minimum, long maximum) {
        if (value < minimum || value > maximum) {
            throw invalid(field + " is " + value + ", outside " + minimum + " to " + maximum);
        }
    }

    private static ResultException invalid(String detail) {
        return ResultException.of(ResultCode.ANNOUNCEMENT_INVALID, detail);
    }
}
