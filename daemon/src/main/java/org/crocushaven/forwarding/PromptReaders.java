package org.crocushaven.forwarding;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.PromptPart;

/**
 * Remembers which backend server last read a prompt of a model with a given last part.
 *
 * <p>The entries are hints, because backend servers evict cached prompts without notice. Bounded by
 * eviction of the least recently used entry. Not thread-safe.
 */
final class PromptReaders {
    private static final int CAPACITY = 4_096;

    private final Map<Prompt, String> backends =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Prompt, String> eldest) {
                    return size() > CAPACITY;
                }
            };

    /**
     * Returns the backend server that last read a prompt with the same last part; null when
     * unknown.
     */
    String lastReader(IngressRequest request) {
        final List<PromptPart> parts = request.promptParts();
        return parts.isEmpty() ? null : backends.get(promptOf(request, parts));
    }

    /** Records that a backend server has read the prompt of a request. */
    void recordRead(IngressRequest request, String backend) {
        final List<PromptPart> parts = request.promptParts();
        if (!parts.isEmpty()) {
            backends.put(promptOf(request, parts), backend);
        }
    }

    private static Prompt promptOf(IngressRequest request, List<PromptPart> parts) {
        final String model = request.model().map(Object::toString).orElse("");
        return new Prompt(model, parts.get(parts.size() - 1).identifier());
    }

    private record Prompt(String model, long lastPart) {}
}
