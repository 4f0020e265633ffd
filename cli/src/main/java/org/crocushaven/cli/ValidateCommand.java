package org.crocushaven.cli;

import java.nio.file.Path;
import java.util.List;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.servicefile.CollectedPublication;
import org.crocushaven.configuration.servicefile.PublicationCollector;

/** Checks service files without sending anything. */
final class ValidateCommand implements Command {
    @Override
    public String name() {
        return "validate";
    }

    @Override
    public String arguments() {
        return "DIR…";
    }

    @Override
    public String summary() {
        return "checks the service files below folders and reports every fault";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "crocushaven validate examples/drewno/services",
                "crocushaven validate services/chat services/bookings --output json");
    }

    @Override
    public void run(Invocation invocation) {
        final CollectedPublication collected =
                collect(PublishCommand.DEFAULT_PUBLISHER, invocation);
        final PublishServices publication = collected.orElseThrow();
        final CollectedSummary summary = CollectedSummary.of(collected.files(), publication);
        invocation.output().print(summary, summary.table());
    }

    /** Collects the service files below the folders of the command line. */
    static CollectedPublication collect(String publisher, Invocation invocation) {
        final List<Path> folders =
                invocation.arguments(1, Integer.MAX_VALUE).stream().map(Path::of).toList();
        return PublicationCollector.collect(publisher, folders);
    }
}
