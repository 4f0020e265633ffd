package org.crocushaven.admission;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.protocol.Message;

/**
 * Permission to load an adapter version onto a backend server.
 *
 * @param holder the instance to which the load is granted
 * @param backendServer name of the backend server
 * @param version the adapter version
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadGrant(String holder, String backendServer, AdapterVersion version)
        implements Message {}
