package org.crocushaven.admission;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * A holder's report to the allocator; it asks at the same time for a renewal of the lease.
 *
 * @param generation grows whenever the holder has dropped all its buckets
 * @param epoch epoch of the allocator whose grant was applied last; 0 when none was
 * @param appliedSequence sequence of the grant that was applied last
 * @param reportSequence grows with each report of a generation
 * @param urgent whether requests wait for tokens
 * @param entries the buckets
 * @param emptyNanos time for which the holder has held no bucket; 0 when it holds some
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ShareReport(
        long generation,
        long epoch,
        long appliedSequence,
        long reportSequence,
        boolean urgent,
        List<ShareEntry> entries,
        long emptyNanos)
        implements Message {
    public ShareReport {
        entries = List.copyOf(entries);
    }
}
