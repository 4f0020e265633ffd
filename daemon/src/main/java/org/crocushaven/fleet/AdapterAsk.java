package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * A gateway's question where an adapter can be used; answered by {@link AdapterGrant}.
 *
 * @param service the service
 * @param model name of the base model
 * @param adapter name of the adapter; empty text for the base model itself
 * @param avoided backend servers that will not do, for the gateway has tried them
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterAsk(String service, String model, String adapter, List<String> avoided)
        implements Message {
    public AdapterAsk {
        avoided = List.copyOf(avoided);
    }

    /** Returns the question with one more backend server that will not do. */
    AdapterAsk without(String backend) {
        final List<String> more = new ArrayList<>(avoided);
        more.add(backend);
        return new AdapterAsk(service, model, adapter, more);
    }
}
