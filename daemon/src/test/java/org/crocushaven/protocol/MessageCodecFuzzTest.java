package org.crocushaven.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** A payload that another process wrote is decoded or refused as malformed, whatever it holds. */
class MessageCodecFuzzTest {
    private static final int NESTING = 200_000;

    /** Heads of MessagePack values that announce more than follows. */
    private static final byte[][] TOO_LONG = {
        {(byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
        {(byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
        {(byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
        {(byte) 0xdf, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff},
        {(byte) 0xc9, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x01},
    };

    private enum Fault {
        CHANGED_BYTE,
        TRUNCATED,
        TOO_LONG,
        DEEPLY_NESTED,
        DECODED,
        REFUSED
    }

    private static byte[] sampleOf(MessageType type) {
        return MessageCodec.encode((Message) valueOf(type.messageClass()));
    }

    /** Returns a value of a type: records are filled, containers hold one element where typed. */
    private static Object valueOf(Type type) {
        if (type instanceof ParameterizedType container) {
            return containerOf(container);
        }
        final Class<?> raw = (Class<?>) type;
        if (raw == String.class) {
            return "name";
        }
        if (raw == boolean.class || raw == Boolean.class) {
            return true;
        }
        if (raw == int.class || raw == Integer.class) {
            return 3;
        }
        if (raw == long.class || raw == Long.class) {
            return 3L;
        }
        if (raw == double.class || raw == Double.class) {
            return 0.5;
        }
        if (raw == byte[].class) {
            return new byte[] {1, 2};
        }
        if (raw == OptionalLong.class) {
            return OptionalLong.of(3);
        }
        if (raw.isEnum()) {
            return raw.getEnumConstants()[0];
        }
        return raw.isRecord() ? recordOf(raw) : null;
    }

    private static Object containerOf(ParameterizedType type) {
        final Class<?> raw = (Class<?>) type.getRawType();
        final Type[] arguments = type.getActualTypeArguments();
        final Object element = valueOf(arguments[arguments.length - 1]);
        if (element == null) {
            return raw == Map.class ? Map.of() : raw == Optional.class ? Optional.empty() : null;
        }
        if (raw == Map.class) {
            return Map.of(valueOf(arguments[0]), element);
        }
        if (raw == Optional.class) {
            return Optional.of(element);
        }
        return raw == Set.class ? Set.of(element) : List.of(element);
    }

    private static Object recordOf(Class<?> raw) {
        final RecordComponent[] components = raw.getRecordComponents();
        final Object[] values = new Object[components.length];
        final Class<?>[] types = new Class<?>[components.length];
        for (int position = 0; position < components.length; position++) {
            types[position] = components[position].getType();
            values[position] = valueOf(components[position].getGenericType());
        }
        try {
            final var constructor = raw.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException failure) {
            throw new AssertionError("no sample of " + raw, failure);
        }
    }

    private static byte[] spoil(byte[] sample, RandomGenerator random, FaultCounts<Fault> counts) {
        final int position = sample.length == 0 ? 0 : random.nextInt(sample.length);
        final ByteArrayOutputStream spoilt = new ByteArrayOutputStream();
        spoilt.write(sample, 0, position);
        switch (random.nextInt(4)) {
            case 0 -> {
                counts.count(Fault.CHANGED_BYTE);
                spoilt.write(random.nextInt(256));
                spoilt.write(sample, Math.min(position + 1, sample.length), rest(sample, position));
            }
            case 1 -> counts.count(Fault.TRUNCATED);
            case 2 -> {
                counts.count(Fault.TOO_LONG);
                spoilt.writeBytes(TOO_LONG[random.nextInt(TOO_LONG.length)]);
                spoilt.write(sample, Math.min(position + 1, sample.length), rest(sample, position));
            }
            default -> {
                counts.count(Fault.DEEPLY_NESTED);
                final byte[] nested = new byte[NESTING];
                Arrays.fill(nested, (byte) (random.nextBoolean() ? 0x91 : 0x81));
                spoilt.writeBytes(nested);
            }
        }
        return spoilt.toByteArray();
    }

    private static int rest(byte[] sample, int position) {
        return Math.max(0, sample.length - position - 1);
    }

    private static void decode(MessageType type, byte[] payload, FaultCounts<Fault> counts) {
        try {
            MessageCodec.decode(type, payload);
            counts.count(Fault.DECODED);
        } catch (ResultException refusal) {
            assertEquals(ResultCode.FRAME_MALFORMED, refusal.code());
            counts.count(Fault.REFUSED);
        }
    }

    @Test
    @Tag("fuzz")
    void spoiltPayloadsOfEachTypeAreDecodedOrRefused() {
        final FaultCounts<Fault> counts = FaultCounts.of(Fault.class);
        FuzzSettings.forEachCase(
                "spoilt-payloads",
                150,
                seed -> {
                    final RandomGenerator random =
                            RandomGeneratorFactory.of("SplittableRandom").create(seed);
                    for (final MessageType type : MessageType.values()) {
                        decode(type, spoil(sampleOf(type), random, counts), counts);
                    }
                });
        counts.print("spoilt-payloads");
        counts.assertAllOccurred();
    }

    @Nested
    class SoundPayloads {
        @Test
        void ofEachTypeAreDecoded() {
            for (final MessageType type : MessageType.values()) {
                final byte[] payload = sampleOf(type);
                assertTrue(
                        Arrays.equals(
                                payload, MessageCodec.encode(MessageCodec.decode(type, payload))),
                        type.name());
            }
        }
    }

    /** Messages gain fields at their end; an instance of an older version leaves them out. */
    @Nested
    class PayloadsOfNewerVersions {
        @Test
        void withOneMoreFieldAreDecoded() {
            for (final MessageType type : MessageType.values()) {
                final byte[] payload = sampleOf(type);
                final int fields = payload[0] & 0x0f;
                if ((payload[0] & 0xf0) == 0x90 && fields < 15) {
                    final byte[] longer = Arrays.copyOf(payload, payload.length + 1);
                    longer[0] = (byte) (0x90 | fields + 1);
                    longer[payload.length] = (byte) 0xc0;
                    MessageCodec.decode(type, longer);
                }
            }
        }
    }

    @Nested
    class LengthsBeyondThePayload {
        @Test
        void areRefusedWithoutMemoryForThem() {
            for (final byte[] head : TOO_LONG) {
                assertThrows(
                        ResultException.class,
                        () -> MessageCodec.decodeValue(head, byte[].class),
                        () -> Arrays.toString(head));
            }
        }
    }
}
