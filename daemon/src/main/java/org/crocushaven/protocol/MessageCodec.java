package org.crocushaven.protocol;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes messages as MessagePack arrays and decodes them. Thread-safe. */
public final class MessageCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory()).registerModule(new Jdk8Module());
    private static final ObjectMapper TEXT_MAPPER =
            JsonMapper.builder().addModule(new Jdk8Module()).build();

    private MessageCodec() {}

    /** Returns the encoded payload of a message. */
    public static byte[] encode(Message message) {
        return encodeValue(message);
    }

    /**
     * Decodes a payload as a message of the given type.
     *
     * @throws ResultException with {@code FRAME_MALFORMED} if the payload cannot be decoded
     */
    public static Message decode(MessageType type, byte[] payload) {
        return decodeValue(payload, type.messageClass());
    }

    /** Encodes a record or a collection of records as MessagePack. */
    public static byte[] encodeValue(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Decodes bytes as a value of the given class.
     *
     * @throws ResultException with {@code FRAME_MALFORMED} if the bytes cannot be decoded
     */
    public static <T> T decodeValue(byte[] bytes, Class<T> valueClass) {
        try {
            return MAPPER.readValue(bytes, valueClass);
        } catch (IOException | RuntimeException failure) {
            // The library's parser throws its own unchecked exceptions, or a NullPointerException.
            throw ResultException.of(
                    ResultCode.FRAME_MALFORMED,
                    valueClass.getSimpleName() + ": " + failure.getClass().getSimpleName());
        }
    }

    /** Returns the message's class name and its content as JSON, for logs and tests. */
    public static String describe(Message message) {
        try {
            return message.getClass().getSimpleName() + TEXT_MAPPER.writeValueAsString(message);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
