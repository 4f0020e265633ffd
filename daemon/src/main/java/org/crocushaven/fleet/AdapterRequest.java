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
 * @param priority priority of the request; 0 is the highest, and that of software without this
 *     component
 * @param patienceMillis time that the request may wait for a load to begin, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterRequest(
        String service,
        String model,
        String adapter,
        List<String> excludedBackends,
        String missingAt,
        int priority,
        long patienceMillis)
        implements Message {
    /** Patience of a request that names none. */
    static final long USUAL_PATIENCE_MILLIS = 120;

    public AdapterRequest {
        excludedBackends = List.copyOf(excludedBackends);
        missingAt = missingAt == null ? "" : missingAt;
        patienceMillis = patienceMillis == 0 ? USUAL_PATIENCE_MILLIS : patienceMillis;
    }

    /** Returns a request for an adapter that was not missed anywhere. */
    public static AdapterRequest of(
            String service, String model, String adapter, List<String> excludedBackends) {
        return new AdapterRequest(
                service, model, adapter, excludedBackends, "", 0, USUAL_PATIENCE_MILLIS);
    }

    /** Returns the adapter, or the base model itself. */
    AdapterKey key() {
        return new AdapterKey(model, adapter);
    }

    /** Returns what all requests have in common that may share a load with this one. */
    AdapterRequest load() {
        return of(service, model, adapter, excludedBackends);
    }

    /** Returns the same request with one more backend server excluded. */
    AdapterRequest excluding(String backend) {
        final List<String> more = new ArrayList<>(excludedBackends);
        more.add(backend);
        return new AdapterRequest(service, model, adapter, more, "", priority, patienceMillis);
    }
}
