package org.crocushaven.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Records the applied commands; the result of each is the number of commands so far. */
final class RecordingMachine implements StateMachine {
    private static final String SEPARATOR = ",";

    private final List<String> commands = new ArrayList<>();

    synchronized List<String> commands() {
        return List.copyOf(commands);
    }

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        commands.add(new String(command, StandardCharsets.UTF_8));
        return Integer.toString(commands.size()).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public synchronized byte[] snapshot() {
        return String.join(SEPARATOR, commands).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public synchronized void restore(long index, byte[] snapshot) {
        commands.clear();
        if (snapshot.length > 0) {
            final String joined = new String(snapshot, StandardCharsets.UTF_8);
            commands.addAll(List.of(joined.split(SEPARATOR)));
        }
    }
}
