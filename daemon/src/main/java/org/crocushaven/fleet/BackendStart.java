package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * One start of a backend server.
 *
 * @param backend identifier of the backend server
 * @param startedMillis Unix time of the start, in milliseconds; 0 if not known
 * @param address its address as {@code host:port}
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendStart(String backend, long startedMillis, String address) {
    /** Returns the start that a record describes. */
    public static BackendStart of(BackendRecord record) {
        return new BackendStart(
                record.backend(), record.startedMillis(), record.host() + ':' + record.port());
    }

    /** Returns whether an announcement comes from this start. */
    boolean sent(BackendAnnouncement announcement) {
        return !announcement.isDeregistration()
                && announcement.startedMillis() == startedMillis
                && announcement.backend().equals(backend);
    }

    /** Returns whether an announcement shows that this start has ended, since a later one came. */
    boolean isFollowedBy(BackendAnnouncement announcement) {
        return !announcement.isDeregistration()
                && announcement.startedMillis() > startedMillis
                && (announcement.backend().equals(backend)
                        || announcement.address().equals(address));
    }
}
