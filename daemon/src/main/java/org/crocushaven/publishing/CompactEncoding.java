package org.crocushaven.publishing;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.ConfigurationMappers;
import org.msgpack.core.MessagePackException;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes values as MessagePack preceded by a header; values of {@value #DEFLATE_THRESHOLD_BYTES}
 * bytes or more are deflated.
 *
 * <p>The header is a four-byte integer with the length of the MessagePack bytes. When these are
 * deflated, the header holds the bitwise complement of that length, which is negative. Adapters are
 * encoded as arrays without component names, because there are thousands of them; all other records
 * are encoded with their names.
 */
final class CompactEncoding {
    private static final int DEFLATE_THRESHOLD_BYTES = 512;
    private static final int MAXIMUM_DECODED_BYTES = 256 << 20;
    private static final int CHUNK_BYTES = 16 << 10;

    private static final ObjectMapper MAPPER =
            ConfigurationMappers.configure(MessagePackMapper.builder(new MessagePackFactory()))
                    .addMixIn(Adapter.class, ArrayShape.class)
                    .build();

    /** Encodes a value as MessagePack, without header or compression. */
    byte[] encodePlain(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Encodes a value with its header. */
    byte[] encode(Object value) {
        final byte[] plain = encodePlain(value);
        final boolean deflated = plain.length >= DEFLATE_THRESHOLD_BYTES;
        final byte[] body = deflated ? deflate(plain) : plain;
        final int header = deflated ? ~plain.length : plain.length;
        return ByteBuffer.allocate(Integer.BYTES + body.length).putInt(header).put(body).array();
    }

    /**
     * Decodes a value.
     *
     * @throws IOException when the bytes are not an encoded value of the type
     */
    <T> T decode(byte[] encoded, Class<T> type) throws IOException {
        if (encoded.length < Integer.BYTES) {
            throw new IOException("encoded value is shorter than its header of 4 bytes");
        }
        final int header = ByteBuffer.wrap(encoded).getInt();
        final int length = header < 0 ? ~header : header;
        if (length > MAXIMUM_DECODED_BYTES) {
            throw new IOException(
                    length
                            + " bytes of decoded value exceed the limit of "
                            + MAXIMUM_DECODED_BYTES);
        }
        final T value = read(encoded, header, length, type);
        if (value == null) {
            throw new IOException("encoded value is null");
        }
        return value;
    }

    private static <T> T read(byte[] encoded, int header, int length, Class<T> type)
            throws IOException {
        try {
            if (header < 0) {
                return MAPPER.readValue(inflate(encoded, length), type);
            }
            return MAPPER.readValue(encoded, Integer.BYTES, encoded.length - Integer.BYTES, type);
        } catch (MessagePackException malformed) {
            throw new IOException(malformed);
        }
    }

    private static byte[] deflate(byte[] plain) {
        final Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            final ByteArrayOutputStream output = new ByteArrayOutputStream(plain.length / 4);
            final byte[] chunk = new byte[CHUNK_BYTES];
            while (!deflater.finished()) {
                output.write(chunk, 0, deflater.deflate(chunk));
            }
            return output.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] encoded, int length) throws IOException {
        final Inflater inflater = new Inflater();
        try {
            inflater.setInput(encoded, Integer.BYTES, encoded.length - Integer.BYTES);
            final ByteArrayOutputStream output = new ByteArrayOutputStream(CHUNK_BYTES);
            final byte[] chunk = new byte[CHUNK_BYTES];
            while (!inflater.finished() && output.size() <= length) {
                final int count = inflater.inflate(chunk);
                if (count == 0 && inflater.needsInput()) {
                    throw new IOException("deflated bytes end before the value is complete");
                }
                output.write(chunk, 0, count);
            }
            if (output.size() != length) {
                throw new IOException(
                        "inflated value does not have the length stated in the header");
            }
            return output.toByteArray();
        } catch (DataFormatException failure) {
            throw new IOException(failure);
        } finally {
            inflater.end();
        }
    }

    /** Makes the mapper encode a record as an array without component names. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private interface ArrayShape {}
}
