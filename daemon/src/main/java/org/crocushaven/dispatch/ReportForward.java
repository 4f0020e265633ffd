package org.crocushaven.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.protocol.Message;

/**
 * Forwards a load report from the instance that received it to the dispatcher.
 *
 * @param server the backend server
 * @param report the report
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ReportForward(BackendServer server, LoadReport report) implements Message {}
