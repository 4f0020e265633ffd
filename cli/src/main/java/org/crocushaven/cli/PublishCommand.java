package org.crocushaven.cli;

import java.util.List;
import joptsimple.OptionParser;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.PublicationRules;
import org.crocushaven.configuration.servicefile.CollectedPublication;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Collects service files and publishes them as one change. */
final class PublishCommand implements Command {
    static final String DEFAULT_PUBLISHER = "main";

    private static final String PUBLISHER = "publisher";

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public String arguments() {
        return "DIR…";
    }

    @Override
    public String summary() {
        return "publishes service files below folders, replacing the publisher's last publication";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "crocushaven publish examples/drewno/services --address 127.0.0.1:17101",
                "crocushaven publish services --operator anna --number 7 --publisher permits");
    }

    @Override
    public void addOptions(OptionParser parser) {
        parser.accepts(PUBLISHER, "publisher whose publication is replaced")
                .withRequiredArg()
                .describedAs("name")
                .defaultsTo(DEFAULT_PUBLISHER);
    }

    @Override
    public void run(Invocation invocation) {
        final String publisher = invocation.option(PUBLISHER).orElseThrow();
        if (!PublicationRules.NAME.matcher(publisher).matches()) {
            throw ResultException.of(
                    ResultCode.COMMAND_LINE_INVALID,
                    "--publisher: allowed: " + PublicationRules.NAME_ALLOWED);
        }
        final CollectedPublication collected = ValidateCommand.collect(publisher, invocation);
        final ChangeAnswer answer = invocation.submit(collected.orElseThrow());
        AnswerPrinter.print(invocation, answer);
    }
}
