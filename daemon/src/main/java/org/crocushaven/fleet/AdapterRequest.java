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
 * @param missingAt backend server that answered that it does not hold the adapter, although the
 *     leader granted it there; empty if there is none, or if the gateway runs software without this
 *     component
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterRequest(
        String service,
        String model,
        String adapter,
        List<String> excludedBackends,
        String missingAt)
        implements Message {
    public AdapterRequest {
        excludedBackends = List.copyOf(excludedBackends);
        missingAt = missingAt == null ? "" : missingAt;
    }

    /** Returns a request for an adapter that was not missed anywhere. */
    public static AdapterRequest of(
            String service, String model, String adapter, List<String> excludedBackends) {
        return new AdapterRequest(service, model, adapter, excludedBackends, "");
    }

    /** Returns the adapter, or the base model itself. */
    AdapterKey key() {
        return new AdapterKey(model, adapter);
    }

    /** Returns the same request without the backend server where the adapter was missing. */
    AdapterRequest withoutMissing() {
        return of(service, model, adapter, excludedBackends);
    }

    /** Returns the same request with one more backend server excluded. */
    AdapterRequest excluding(String backend) {
        final List<String> more = new ArrayList<>(excludedBackends);
        more.add(backend);
        return of(service, model, adapter, more);
    }
}
