package org.crocushaven.settings;

import java.util.Optional;
import java.util.Set;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.TomlNode;
import org.crocushaven.configuration.check.ViolationLog;

/** Reports an initial voter that has no data folder for its log. */
final class VoterDataFolderCheck implements Check {
    private static final String MESSAGE_NO_FOLDER = "voter.folder";

    private VoterDataFolderCheck() {}

    static VoterDataFolderCheck create() {
        return new VoterDataFolderCheck();
    }

    @Override
    public Set<String> paths() {
        return Set.of(ROOT_PATH);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<String> instance = node.child(SettingsKeys.INSTANCE).flatMap(TomlNode::text);
        final Optional<TomlNode> voters = node.child(SettingsKeys.INITIAL_VOTERS);
        if (instance.isEmpty() || voters.isEmpty()) {
            return;
        }
        final boolean isVoter = node.texts(SettingsKeys.INITIAL_VOTERS).contains(instance.get());
        if (isVoter && node.child(SettingsKeys.DATA_FOLDER).isEmpty()) {
            log.add(voters.get(), MESSAGE_NO_FOLDER, instance.get());
        }
    }
}
