package org.crocushaven.consensus;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.storage.DataFolder;
import org.crocushaven.storage.FileLogStore;
import org.crocushaven.storage.LogStore;
import org.crocushaven.storage.SnapshotImage;
import org.tinylog.Logger;

/**
 * Runs one replica of a group on a dedicated thread.
 *
 * <p>Futures complete on that thread, so their dependent actions must not block. Commands that
 * arrive during a sync are stored together by the next sync.
 */
public final class GroupHost implements ReplicatedGroup, ReopenableReplica {
    /** Maximum size of a proposed command, in bytes. */
    public static final int MAXIMUM_COMMAND_BYTES = 512 * 1024;

    private static final int QUEUE_CAPACITY = 65_536;
    private static final int INPUTS_PER_SYNC = 1_024;
    private static final long TICK_INTERVAL_MILLIS = 10;
    private static final long STOP_TIMEOUT_MILLIS = 10_000;

    private final GroupSettings settings;
    private final GroupRouter router;
    private final NanoClock clock;
    private final AppliedState applied;
    private final GroupLoop loop;
    private final BlockingQueue<LongConsumer> inputs = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
    private final Map<String, Long> contactNanos = new ConcurrentHashMap<>();
    private final Thread thread;
    private volatile boolean stopping;
    private volatile boolean rejectsInputs;
    private volatile boolean failed;
    private volatile GroupView view;

    private GroupHost(
            GroupSettings settings,
            GroupRouter router,
            LogStore store,
            StateMachine machine,
            NanoClock clock,
            long seed) {
        this.settings = settings;
        this.router = router;
        this.clock = clock;
        final ReplicaCore core =
                ReplicaCore.create(
                        settings,
                        store.identity(),
                        store.recovered(),
                        new SplittableRandom(seed),
                        clock.nanoTime());
        this.applied = new AppliedState(machine, core.configurationAt(core.commitIndex()));
        store.recovered().snapshot().ifPresent(applied::restore);
        this.loop =
                new GroupLoop(
                        settings,
                        core,
                        store,
                        applied,
                        router,
                        clock,
                        new LoggedGroupEvents(settings.groupId()));
        this.view = GroupView.of(core, clock.nanoTime());
        this.thread = new Thread(this::run, "group-" + settings.groupId());
    }

    /**
     * Opens the folder {@code group-N} of a data folder and starts the replica.
     *
     * @param dataFolder the data folder of the instance
     * @param seed seed of the election timeouts
     */
    public static GroupHost start(
            GroupSettings settings,
            GroupRouter router,
            Path dataFolder,
            StateMachine machine,
            NanoClock clock,
            long seed) {
        final String owner = settings.instance() + "/group-" + settings.groupId();
        final Path path = dataFolder.resolve("group-" + settings.groupId());
        final LogStore store = FileLogStore.open(DataFolder.open(path, owner, new SecureRandom()));
        final GroupHost host = new GroupHost(settings, router, store, machine, clock, seed);
        router.register(settings.groupId(), host::receive);
        host.thread.start();
        return host;
    }

    @Override
    public int groupId() {
        return settings.groupId();
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        final CompletableFuture<byte[]> result = new CompletableFuture<>();
        if (command.length > MAXIMUM_COMMAND_BYTES) {
            result.completeExceptionally(
                    ResultException.of(
                            ResultCode.FRAME_TOO_LARGE, command.length, MAXIMUM_COMMAND_BYTES));
        } else {
            submit(nowNanos -> loop.propose(command, result), result);
        }
        return result;
    }

    @Override
    public Optional<String> leader() {
        return view.leader();
    }

    @Override
    public long term() {
        return view.term();
    }

    @Override
    public boolean holdsLeaderLease() {
        final OptionalLong end = view.leaseEndNanos();
        return end.isPresent() && end.getAsLong() - clock.nanoTime() > 0;
    }

    @Override
    public long leaderSinceNanos() {
        return view.leaderSinceNanos();
    }

    @Override
    public long appliedIndex() {
        return applied.appliedIndex();
    }

    @Override
    public List<String> voters() {
        return view.voters();
    }

    /**
     * Returns the names of voters whose replica answers this leader with another storage identity,
     * because it lost its disk; {@link #addVoter} makes it a voter again. Empty on other replicas.
     */
    public List<String> foreignVoters() {
        return view.foreignVoters();
    }

    /** Returns when the last message of this group came from each instance that sent one. */
    public Map<String, Long> contactNanos() {
        return Map.copyOf(contactNanos);
    }

    @Override
    public CompletableFuture<Void> addVoter(String instance) {
        final CompletableFuture<Void> result = new CompletableFuture<>();
        submit(nowNanos -> loop.addVoter(instance, result, nowNanos), result);
        return result;
    }

    @Override
    public CompletableFuture<Void> removeVoter(String instance) {
        final CompletableFuture<Void> result = new CompletableFuture<>();
        submit(nowNanos -> loop.removeVoter(instance, result, nowNanos), result);
        return result;
    }

    /**
     * Returns the committed commands after an index, limited by their total size in bytes; empty
     * when some are no longer held and {@link #snapshot} is needed.
     */
    public Optional<List<CommittedCommand>> commandsAfter(long index, int maximumBytes) {
        return applied.commandsAfter(index, maximumBytes);
    }

    /** Returns the state after the last applied command. */
    public SnapshotImage snapshot() {
        return applied.snapshot();
    }

    /** Returns the number of synced batches; under load, a batch contains several entries. */
    public long syncedBatches() {
        return loop.syncedBatches();
    }

    /** Returns the number of entries that this replica has synced. */
    public long syncedEntries() {
        return loop.syncedEntries();
    }

    @Override
    public boolean hasFailed() {
        return failed;
    }

    @Override
    public void close() {
        stopping = true;
        router.unregister(settings.groupId());
        try {
            thread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void receive(String sender, GroupMessage message) {
        contactNanos.put(sender, clock.nanoTime());
        if (!inputs.offer(nowNanos -> loop.receive(sender, message, nowNanos))) {
            Logger.warn("event=message-dropped group={} sender={}", settings.groupId(), sender);
        }
    }

    private void submit(LongConsumer input, CompletableFuture<?> result) {
        if (!inputs.offer(input)) {
            result.completeExceptionally(
                    ResultException.of(ResultCode.QUEUE_FULL, "group " + settings.groupId()));
        }
        if (rejectsInputs) {
            result.completeExceptionally(ResultException.of(ResultCode.STOPPING));
        }
    }

    private void run() {
        try {
            while (!stopping) {
                executeInputs();
                loop.finishRound();
                view = loop.view();
            }
        } catch (InterruptedException exception) {
            Logger.info("event=group-interrupted group={}", settings.groupId());
        } catch (RuntimeException | Error exception) {
            failed = true;
            Logger.error(
                    "event=group-failed group={} reason=\"{}\"",
                    settings.groupId(),
                    exception.getMessage());
        } finally {
            stop();
        }
    }

    private void executeInputs() throws InterruptedException {
        LongConsumer input = inputs.poll(TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        int executed = 0;
        while (input != null) {
            input.accept(clock.nanoTime());
            executed++;
            input = executed < INPUTS_PER_SYNC ? inputs.poll() : null;
        }
    }

    /**
     * Fails queued proposals and voter changes and drops queued messages. {@link #submit} fails
     * requests that arrive after {@code rejectsInputs} is set.
     */
    private void stop() {
        view = view.stopped();
        closeLoop();
        rejectsInputs = true;
        LongConsumer input = inputs.poll();
        while (input != null) {
            input.accept(clock.nanoTime());
            input = inputs.poll();
        }
    }

    /** Closes the store; one that reports a failure is closed all the same. */
    private void closeLoop() {
        try {
            loop.stop();
        } catch (RuntimeException exception) {
            Logger.warn(
                    "event=group-closed-with-failure group={} reason=\"{}\"",
                    settings.groupId(),
                    exception.getMessage());
        }
    }
}
