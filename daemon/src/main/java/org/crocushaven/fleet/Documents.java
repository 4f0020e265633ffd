package org.crocushaven.fleet;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses documents for the log and for messages between instances. */
public final class Documents {
    private Documents() {}

    /** Returns the compressed form of a document. */
    public static byte[] compress(byte[] plain) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
            out.write(plain);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return bytes.toByteArray();
    }

    /** Returns the document that was compressed. */
    public static byte[] decompress(byte[] compressed) {
        try (InflaterInputStream in =
                new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            return in.readAllBytes();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
