package org.crocushaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.List;
import joptsimple.OptionParser;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.DrainBackendServer;
import org.crocushaven.configuration.UndrainBackendServer;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.status.Acknowledgement;
import org.crocushaven.status.BackendStatus;

/** Takes a backend server or an instance out of service without interrupting requests. */
final class DrainCommand implements Command {
    private static final String UNDO = "undo";

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String arguments() {
        return "backend NAME | instance NAME";
    }

    @Override
    public String summary() {
        return "stops new requests to a backend server, or stops an instance gracefully";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "crocushaven drain backend e7",
                "crocushaven drain backend e7 --undo",
                "crocushaven drain instance a2");
    }

    @Override
    public void addOptions(OptionParser parser) {
        parser.accepts(UNDO, "sends new requests to the backend server again");
    }

    @Override
    public void run(Invocation invocation) {
        final List<String> arguments = invocation.arguments(2, 2);
        final String name = NameValidator.requireValid(arguments.get(1));
        switch (arguments.get(0)) {
            case "backend" -> drainBackend(invocation, name);
            case "instance" -> drainInstance(invocation, name);
            default ->
                    throw ResultException.of(
                            ResultCode.COMMAND_LINE_INVALID,
                            "drain " + arguments.get(0) + ": allowed: backend, instance");
        }
    }

    private static void drainBackend(Invocation invocation, String name) {
        if (invocation.has(UNDO)) {
            submit(invocation, new UndrainBackendServer(name));
            return;
        }
        final List<BackendStatus> backends =
                invocation.client().get("backends", new TypeReference<List<BackendStatus>>() {});
        if (backends.stream().noneMatch(backend -> backend.name().equals(name))) {
            throw ResultException.of(ResultCode.UNKNOWN_BACKEND_SERVER, name);
        }
        submit(invocation, new DrainBackendServer(name));
    }

    private static void submit(Invocation invocation, Change change) {
        AnswerPrinter.print(invocation, invocation.submit(change));
    }

    private static void drainInstance(Invocation invocation, String name) {
        if (invocation.has(UNDO)) {
            throw ResultException.of(
                    ResultCode.COMMAND_LINE_INVALID, "--undo: allowed with drain backend only");
        }
        final Acknowledgement acknowledgement =
                invocation
                        .client()
                        .post(
                                "instances/" + name + "/drain",
                                new TypeReference<Acknowledgement>() {});
        invocation
                .output()
                .print(
                        acknowledgement,
                        Table.of("INSTANCE", "DETAIL").row(name, acknowledgement.detail()));
    }
}
