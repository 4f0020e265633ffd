package org.crocushaven.admission;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.protocol.Message;

/**
 * Request for permission to load an adapter version onto a backend server.
 *
 * @param backendServer name of the backend server
 * @param version the adapter version
 * @param organisation the organisation whose request has waited longest; empty for a prefetch
 * @param weight the organisation's weight, 1 or more
 * @param priority priority of the load
 * @param waiting number of requests that wait for the load
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadRequest(
        String backendServer,
        AdapterVersion version,
        String organisation,
        int weight,
        LoadPriority priority,
        int waiting)
        implements Message {}
