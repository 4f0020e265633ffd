package org.crocushaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.WithdrawKey;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.status.KeyStatus;

/** Grants, withdraws and lists keys; sends only their hashes to the operator port. */
final class KeysCommand implements Command {
    private static final String LABEL = "label";
    private static final String KEY_FILE = "key-file";
    private static final String KEY_PREFIX = "ck_";
    private static final int KEY_BYTES = 32;

    @Override
    public String name() {
        return "keys";
    }

    @Override
    public String arguments() {
        return "grant ORGANISATION | withdraw [IDENTIFIER] | list";
    }

    @Override
    public String summary() {
        return "grants, withdraws and lists callers' keys";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "crocushaven keys grant szczapa --label \"permit desk\"",
                "crocushaven keys grant szczapa --key-file desk.key --operator anna --number 8",
                "crocushaven keys withdraw 2c26b46b",
                "crocushaven keys list --output json");
    }

    @Override
    public void addOptions(OptionParser parser) {
        parser.accepts(LABEL, "description of the key for operators")
                .withRequiredArg()
                .describedAs("text");
        parser.accepts(KEY_FILE, "file with the key; default: a new random key")
                .withRequiredArg()
                .describedAs("file");
    }

    @Override
    public void run(Invocation invocation) {
        final List<String> arguments = invocation.arguments(1, 2);
        switch (arguments.get(0)) {
            case "grant" -> grant(invocation, invocation.arguments(2, 2).get(1));
            case "withdraw" -> withdraw(invocation, arguments);
            case "list" -> list(invocation);
            default ->
                    throw ResultException.of(
                            ResultCode.COMMAND_LINE_INVALID,
                            "keys " + arguments.get(0) + ": allowed: grant, withdraw, list");
        }
    }

    private static void grant(Invocation invocation, String organisation) {
        final Optional<String> keyFromFile = readKeyFile(invocation);
        final String key = keyFromFile.orElseGet(() -> randomKey(invocation));
        final KeyHash hash = KeyHash.ofKey(key);
        final String label = invocation.option(LABEL).orElse("");
        final ChangeAnswer answer;
        try {
            answer = invocation.submit(new GrantKey(hash, organisation, label));
        } catch (ResultException refusal) {
            if (refusal.code() == ResultCode.CHANGE_OUTCOME_UNKNOWN && keyFromFile.isEmpty()) {
                invocation
                        .console()
                        .errors()
                        .println(
                                "save this key to a file; repeat with --key-file and --number: "
                                        + key);
            }
            throw refusal;
        }
        final GrantedKey granted =
                new GrantedKey(
                        keyFromFile.isPresent() ? "" : key,
                        hash.identifier(),
                        organisation,
                        answer.revision());
        invocation.output().print(granted, granted.table());
    }

    private static String randomKey(Invocation invocation) {
        final byte[] bytes = new byte[KEY_BYTES];
        invocation.console().random().nextBytes(bytes);
        return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private static void withdraw(Invocation invocation, List<String> arguments) {
        final Optional<String> key = readKeyFile(invocation);
        if (key.isPresent() == (arguments.size() == 2)) {
            throw ResultException.of(
                    ResultCode.COMMAND_LINE_INVALID,
                    "keys withdraw: give either an identifier or --key-file");
        }
        final String name =
                key.map(KeyHash::ofKey).map(KeyHash::hex).orElseGet(() -> arguments.get(1));
        AnswerPrinter.print(invocation, invocation.submit(new WithdrawKey(name)));
    }

    private static Optional<String> readKeyFile(Invocation invocation) {
        return invocation.option(KEY_FILE).map(Path::of).map(CommonOptions::readSecret);
    }

    private static void list(Invocation invocation) {
        invocation.arguments(1, 1);
        final List<KeyStatus> keys =
                invocation.client().get("keys", new TypeReference<List<KeyStatus>>() {});
        final Table table = Table.of("KEY", "ORGANISATION", "WITHDRAWN", "LABEL");
        for (final KeyStatus key : keys) {
            table.row(
                    key.identifier(),
                    key.organisation(),
                    CellText.yesOrEmpty(key.withdrawn()),
                    key.label());
        }
        invocation.output().print(keys, table);
    }
}
