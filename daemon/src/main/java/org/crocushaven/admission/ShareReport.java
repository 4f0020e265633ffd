package org.crocushaven.admission;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * A holder's report to the allocator, which also requests a renewal of the lease.
 *
 * @param generation increases whenever the holder drops all its buckets
 * @param epoch epoch of the allocator whose grant was applied last; 0 if there is none
 * @param appliedSequence sequence of the grant that was applied last
 * @param reportSequence increases with each report
 * @param urgent whether the report was urgent, see {@link ShareHolder#reportIsUrgent}
 * @param entries one entry for each bucket
 * @param emptyNanos time for which the holder has held no bucket; 0 if it holds one
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
