package org.crocushaven.forwarding;

import java.util.List;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.ModelReference;
import org.crocushaven.ingress.PromptPart;

/**
 * The parts of a request's prompt that other requests may share: all but the last.
 *
 * @param model name of the base model; empty if the request names none
 * @param parts identifiers of the parts, in order
 */
record SharedParts(String model, List<Long> parts) {
    static SharedParts of(IngressRequest request) {
        final List<PromptPart> all = request.promptParts();
        return new SharedParts(
                request.model().map(ModelReference::model).orElse(""),
                all.stream()
                        .limit(Math.max(0, all.size() - 1))
                        .map(PromptPart::identifier)
                        .toList());
    }
}
