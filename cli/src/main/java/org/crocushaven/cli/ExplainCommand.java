package org.crocushaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import joptsimple.OptionParser;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.status.ExplainedDecision;
import org.crocushaven.status.Explanation;

/** Shows the decisions that were made about a request. */
final class ExplainCommand implements Command {
    private static final String LOG = "log";

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "REQUEST";
    }

    @Override
    public String summary() {
        return "shows the decisions about a request: backend server, loads, share";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "crocushaven explain a1-18f2-77",
                "crocushaven explain 9c41d07be2a35f68 --log day.log --output json");
    }

    @Override
    public void addOptions(OptionParser parser) {
        parser.accepts(LOG, "saved log files to read instead of asking an instance")
                .withRequiredArg()
                .withValuesSeparatedBy(',')
                .describedAs("files");
    }

    @Override
    public void run(Invocation invocation) {
        final String request = invocation.arguments(1, 1).get(0);
        if (!request.matches("[A-Za-z0-9._-]{1,64}")) {
            throw ResultException.of(
                    ResultCode.COMMAND_LINE_INVALID,
                    "a request identifier must be 1 to 64 characters of A-Z a-z 0-9 . _ -");
        }
        final List<String> files = invocation.options(LOG);
        if (files.isEmpty()) {
            explainFromInstances(invocation, request);
        } else {
            explainFromLogs(invocation, files, request);
        }
    }

    private static void explainFromLogs(Invocation invocation, List<String> files, String request) {
        final RequestTimeline timeline =
                RequestTimeline.read(files.stream().map(Path::of).toList(), request);
        final Table table = Table.of("TIME", "PROCESS", "LINE");
        for (final RequestTimeline.Entry entry : timeline.entries()) {
            table.row(entry.time(), entry.source(), entry.line());
        }
        if (timeline.unreadable() > 0) {
            invocation
                    .console()
                    .errors()
                    .println(timeline.unreadable() + " unreadable lines were skipped");
        }
        invocation.output().print(timeline, table);
    }

    private static void explainFromInstances(Invocation invocation, String request) {
        final Explanation explanation =
                invocation.client().get("explain/" + request, new TypeReference<Explanation>() {});
        final Table table = Table.of("TIME", "INSTANCE", "DECISION");
        for (final ExplainedDecision decision : explanation.decisions()) {
            table.row(
                    Instant.ofEpochMilli(decision.epochMillis()),
                    decision.instance(),
                    decision.line());
        }
        invocation.output().print(explanation, table);
    }
}
