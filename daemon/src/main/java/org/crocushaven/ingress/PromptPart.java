package org.crocushaven.ingress;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Describes one part of a prompt; the first parts of a prompt may be shared between requests.
 *
 * @param identifier identifier of the part's content
 * @param tokens number of tokens in the part
 */
public record PromptPart(long identifier, int tokens) {
    /** Returns the identifiers of parts for a log line: hexadecimal, with commas; "-" if none. */
    public static String list(List<PromptPart> parts) {
        return parts.isEmpty()
                ? "-"
                : parts.stream()
                        .map(part -> Long.toHexString(part.identifier()))
                        .collect(Collectors.joining(","));
    }
}
