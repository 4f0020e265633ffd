package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Where a stream began: what two software versions write does not fit together, so that it may go
 * on only there.
 *
 * @param service the service
 * @param softwareVersion software version of the backend server that brought the first event; empty
 *     if that reports none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamOrigin(String service, String softwareVersion) {}
