package org.crocushaven.evacuation;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What a command changes of the evacuations.
 *
 * @param orders orders to apply
 * @param held evacuations that a snapshot holds; none in a change
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EvacuationChange(List<EvacuationOrder> orders, List<Evacuation> held) {
    /** Changes nothing. */
    public static final EvacuationChange NONE = new EvacuationChange(List.of(), List.of());

    public EvacuationChange {
        orders = List.copyOf(orders);
        held = List.copyOf(held);
    }

    /** Returns the change by one order. */
    public static EvacuationChange of(EvacuationOrder order) {
        return new EvacuationChange(List.of(order), List.of());
    }

    /** Returns the change that restores the evacuations of a snapshot. */
    public static EvacuationChange ofSnapshot(List<Evacuation> held) {
        return new EvacuationChange(List.of(), held);
    }
}
