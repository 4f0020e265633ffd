package org.crocushaven.configuration.servicefile;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.check.Violation;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * The result of collecting service files.
 *
 * @param files the files found
 * @param violations every violation, sorted by file and line
 * @param publication the publication; empty when there are violations
 */
public record CollectedPublication(
        List<Path> files, List<Violation> violations, Optional<PublishServices> publication) {
    public CollectedPublication {
        files = List.copyOf(files);
        violations = List.copyOf(violations);
    }

    /**
     * Returns the publication.
     *
     * @throws ResultException with {@code SERVICE_FILE_INVALID} and all violations when there are
     *     any
     */
    public PublishServices orElseThrow() {
        return publication.orElseThrow(
                () ->
                        ResultException.of(
                                ResultCode.SERVICE_FILE_INVALID,
                                violations.stream()
                                        .map(violation -> "\n  " + violation)
                                        .collect(Collectors.joining())));
    }
}
