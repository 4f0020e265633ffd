package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;
import org.crocushaven.protocol.Message;

/**
 * A gateway's request for a backend server that holds an adapter; answered by {@link AdapterGrant}.
 *
 * @param service the service
 * @param model name of the base model
 * @param adapter name of the adapter; empty for the base model itself
 * @param excludedBackends backend servers to exclude because the gateway has already tried them
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterRequest(
        String service, String model, String adapter, List<String> excludedBackends)
        implements Message {
    public AdapterRequest {
        excludedBackends = List.copyOf(excludedBackends);
    }

    /** Returns the same request with one more backend server excluded. */
    AdapterRequest excluding(String backend) {
        final List<String> more = new ArrayList<>(excludedBackends);
        more.add(backend);
        return new AdapterRequest(service, model, adapter, more);
    }
}
