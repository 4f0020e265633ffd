package org.crocushaven.daemon;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.consensus.CommittedCommand;
import org.crocushaven.consensus.GroupHost;
import org.crocushaven.coordination.ConfigurationPage;
import org.crocushaven.coordination.ConfigurationPull;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.storage.SnapshotImage;

/** Serves the committed configuration to instances that are not voters. */
final class ConfigurationPageHandler {
    private static final int MAXIMUM_PAGE_BYTES = 2 * GroupHost.MAXIMUM_COMMAND_BYTES;

    private final GroupHost group;

    private ConfigurationPageHandler(GroupHost group) {
        this.group = group;
    }

    /** Registers the handler on a voter. */
    static void attach(PeerTransport transport, GroupHost group) {
        final ConfigurationPageHandler handler = new ConfigurationPageHandler(group);
        transport.registerHandler(ConfigurationPull.class, (sender, pull) -> handler.answer(pull));
    }

    private CompletableFuture<Message> answer(ConfigurationPull pull) {
        final long appliedIndex = group.appliedIndex();
        final ConfigurationPage page =
                group.commandsAfter(pull.afterIndex(), MAXIMUM_PAGE_BYTES)
                        .map(commands -> pageOf(commands, appliedIndex))
                        .orElseGet(() -> pageOf(group.snapshot()));
        return CompletableFuture.completedFuture(page);
    }

    /**
     * Creates a page of commands. If the page is at least half full, the next command may have been
     * left out because it would have exceeded the maximum size, so the page covers the log only up
     * to its last command. Any other page covers the log up to the applied index.
     */
    private static ConfigurationPage pageOf(List<CommittedCommand> commands, long appliedIndex) {
        final long bytes = commands.stream().mapToLong(command -> command.command().length).sum();
        final long lastIndex =
                commands.isEmpty() ? appliedIndex : commands.get(commands.size() - 1).index();
        final long throughIndex =
                bytes * 2 >= MAXIMUM_PAGE_BYTES ? lastIndex : Math.max(lastIndex, appliedIndex);
        return new ConfigurationPage(
                throughIndex,
                Optional.empty(),
                commands.stream()
                        .map(
                                command ->
                                        new ConfigurationPage.IndexedCommand(
                                                command.index(), command.command()))
                        .toList());
    }

    private static ConfigurationPage pageOf(SnapshotImage snapshot) {
        return new ConfigurationPage(snapshot.index(), Optional.of(snapshot.data()), List.of());
    }
}
