package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.protocol.Message;

/**
 * Reports to the load budget that a load has ended or is no longer needed.
 *
 * @param backendServer name of the backend server
 * @param version the adapter version
 * @param granted whether the load had been granted
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadRelease(String backendServer, AdapterVersion version, boolean granted)
        implements Message {}
