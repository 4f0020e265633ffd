package org.crocushaven.result;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ResultCodeTest {
    @Nested
    class Numbers {
        @Test
        void areUnique() {
            final long distinct =
                    Arrays.stream(ResultCode.values())
                            .mapToInt(ResultCode::number)
                            .distinct()
                            .count();

            assertEquals(ResultCode.values().length, distinct);
        }

        @Test
        void identifyTheirCode() {
            for (final ResultCode code : ResultCode.values()) {
                assertEquals(code, ResultCode.fromNumber(code.number()).orElseThrow());
            }
        }
    }

    @Nested
    class Texts {
        @Test
        void existForEveryCode() {
            for (final ResultCode code : ResultCode.values()) {
                assertFalse(Messages.template(code).isBlank(), code.name());
            }
        }

        @Test
        void showNumbersWithoutGrouping() {
            assertTrue(
                    ResultException.of(ResultCode.BODY_TOO_LARGE, 1_048_576)
                            .getMessage()
                            .contains("1048576"));
        }
    }
}
