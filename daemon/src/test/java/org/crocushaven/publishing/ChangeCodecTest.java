package org.crocushaven.publishing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.DrainBackendServer;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.Route;
import org.crocushaven.configuration.Service;
import org.crocushaven.configuration.UndrainBackendServer;
import org.crocushaven.configuration.WithdrawKey;
import org.crocushaven.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ChangeCodecTest {
    private static final int DAMAGED_COMMANDS = 20_000;
    private static final long SEED = 20_261_203L;

    private final ChangeCodec codec = new ChangeCodec();

    private static NumberedChange numbered(Change change) {
        return new NumberedChange("anna", 7, change);
    }

    private static List<Change> changes() {
        return List.of(
                publication(40),
                publication(0),
                new GrantKey(KeyHash.ofKey("k"), "o", "label"),
                new WithdrawKey(KeyHash.ofKey("k").identifier()),
                new DrainBackendServer("e1"),
                new UndrainBackendServer("e1"));
    }

    private static PublishServices publication(int adapters) {
        final Route route = new Route("POST", "/bookings", false, false, 8_000, 20);
        return new PublishServices(
                "main",
                List.of(
                        new Service(
                                "desk", Service.Kind.PLAIN, "", false, List.of(), List.of(route)),
                        new Service("chat", Service.Kind.ENGINE, "m", true, List.of(), List.of())),
                List.of(new Organisation("o", 100, 1_000, 1)),
                IntStream.range(0, adapters)
                        .mapToObj(
                                number ->
                                        new Adapter(
                                                "a-" + number,
                                                "chat",
                                                List.of("1", "2"),
                                                "2",
                                                List.of("o")))
                        .toList());
    }

    @Nested
    class Commands {
        @Test
        void areUnchangedByRoundTrip() throws IOException {
            for (final Change change : changes()) {
                assertEquals(
                        numbered(change), codec.decodeChange(codec.encodeChange(numbered(change))));
            }
        }
    }

    @Nested
    class DamagedCommands {
        private final SplittableRandom random = new SplittableRandom(SEED);

        @Test
        void areAnsweredWithoutException() throws IOException {
            final ConfigurationStateMachine machine = ConfigurationStateMachine.create();
            final List<byte[]> valid =
                    changes().stream().map(change -> codec.encodeChange(numbered(change))).toList();
            long invalid = 0;
            for (int index = 1; index <= DAMAGED_COMMANDS; index++) {
                final byte[] damaged = damage(valid.get(random.nextInt(valid.size())));
                final ChangeAnswer answer = codec.decodeAnswer(machine.apply(index, damaged));
                if (answer.resultCode() == ResultCode.CHANGE_INVALID) {
                    invalid++;
                }
            }
            assertTrue(invalid > DAMAGED_COMMANDS / 2, invalid + " were invalid");
        }

        /** Truncates a command, replaces it by random bytes or replaces one of its bytes. */
        private byte[] damage(byte[] valid) {
            final int kind = random.nextInt(3);
            if (kind == 0) {
                return Arrays.copyOf(valid, random.nextInt(valid.length));
            }
            final byte[] damaged = valid.clone();
            if (kind == 1) {
                random.nextBytes(damaged);
                // Keeps the header's length positive and small, so that the bytes are decoded.
                damaged[0] = 0;
                return damaged;
            }
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            return damaged;
        }
    }
}
