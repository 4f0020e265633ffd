package org.crocushaven.operator;

import java.util.concurrent.CompletableFuture;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.configuration.PublicationRules;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Submits a change; a successful answer means that the change is committed. */
final class ChangesRoute implements OperatorRoute {
    private final ControlPlane plane;

    ChangesRoute(ControlPlane plane) {
        this.plane = plane;
    }

    @Override
    public CompletableFuture<OperatorResponse> answer(OperatorCall call, String name) {
        final NumberedChange change = call.json(NumberedChange.class);
        if (!PublicationRules.NAME.matcher(change.operator()).matches()) {
            throw ResultException.of(
                    ResultCode.CHANGE_INVALID, "operator: " + PublicationRules.NAME_ALLOWED);
        }
        return plane.submit(change).thenApply(ChangesRoute::response);
    }

    private static OperatorResponse response(ChangeAnswer answer) {
        if (answer.isAccepted()) {
            return OperatorResponse.json(answer);
        }
        return OperatorResponse.refusal(
                ResultException.withDetail(answer.resultCode(), answer.detail()));
    }
}
