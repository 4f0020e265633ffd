package org.crocushaven.forwarding;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import org.crocushaven.fleet.Trait;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.ModelReference;
import org.crocushaven.ingress.PromptPart;

/**
 * What of one request may be guilty when backend servers end: the whole request, and the parts of
 * its prompt that other requests may share, which are all but the last.
 *
 * <p>Two requests are the same if a backend server cannot tell them apart: by organisation, method,
 * host, path with query, and body. Headers that differ between tries do not count, nor does which
 * of its keys an organisation uses.
 *
 * @param model name of the base model; empty if the request names none
 * @param traits the whole request first, then the parts in order
 */
record RequestTraits(String model, List<Long> traits) {
    /** The traits of a request of which nothing is known yet. */
    static final RequestTraits UNKNOWN = new RequestTraits("", List.of());

    RequestTraits {
        traits = List.copyOf(traits);
    }

    /**
     * Returns the traits of a request.
     *
     * @param organisation organisation that holds the request's key; "-" if it has none
     * @param bodyDigest digest of the body
     */
    static RequestTraits of(IngressRequest request, String organisation, byte[] bodyDigest) {
        final List<PromptPart> parts = request.promptParts();
        final List<Long> traits = new ArrayList<>(Math.max(1, parts.size()));
        traits.add(Trait.ofRequest(digest(request, organisation, bodyDigest)));
        parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(part -> Trait.ofPart(part.identifier()))
                .forEach(traits::add);
        return new RequestTraits(request.model().map(ModelReference::model).orElse(""), traits);
    }

    private static long digest(IngressRequest request, String organisation, byte[] bodyDigest) {
        final MessageDigest digest = RequestBody.newDigest();
        addText(digest, organisation);
        addText(digest, request.method().name());
        addText(digest, request.host());
        addText(digest, request.target());
        digest.update(bodyDigest);
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    /** Adds a text after its length, so that no two sequences of texts are the same bytes. */
    private static void addText(MessageDigest digest, String text) {
        final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }
}
