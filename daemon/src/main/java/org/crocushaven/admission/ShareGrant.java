package org.crocushaven.admission;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * The allocator's answer to a report, which renews the lease and may change buckets.
 *
 * @param generation generation of the holder to which the grant applies
 * @param epoch epoch of the allocator
 * @param sequence sequence of the grant within the epoch and generation; a repeated grant has the
 *     same sequence and the same changes
 * @param reportSequence sequence of the answered report
 * @param leaseNanos length of the lease, counted from the sending of the answered report
 * @param allocatorNanos time of the answer on the allocator's clock
 * @param changes all buckets that the holder has after the grant
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ShareGrant(
        long generation,
        long epoch,
        long sequence,
        long reportSequence,
        long leaseNanos,
        long allocatorNanos,
        List<ShareChange> changes)
        implements Message {
    public ShareGrant {
        changes = List.copyOf(changes);
    }
}
