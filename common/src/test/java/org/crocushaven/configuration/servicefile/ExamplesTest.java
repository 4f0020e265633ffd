package org.crocushaven.configuration.servicefile;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.crocushaven.configuration.PublicationProblems;
import org.crocushaven.configuration.PublishServices;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @ValueSource(strings = {"drewno", "tillicum"})
    void areValidAndHaveExpectedSizes(String deployment) {
        final CollectedPublication collected =
                PublicationCollector.collect("main", List.of(EXAMPLES.resolve(deployment)));

        assertEquals(List.of(), collected.violations());
        final PublishServices publication = collected.orElseThrow();
        assertEquals(List.of(), PublicationProblems.of(publication));
        assertEquals(2, publication.services().size());
        assertEquals(5, publication.organisations().size());
        assertEquals(3_000, publication.adapters().size());
    }
}
