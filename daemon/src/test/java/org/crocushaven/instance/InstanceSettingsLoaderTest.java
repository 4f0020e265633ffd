package org.crocushaven.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class InstanceSettingsLoaderTest {
    private static final String GATEWAY =
            """
            instance = "gateway-a-1"
            failure_domain = "a"
            role = "gateway"
            host = "10.0.0.1"
            inner_port = 7600
            seeds = ["10.0.0.2:8000", "10.0.0.3:8000"]
            ingress = "10.0.0.1:8080"
            readiness = "10.0.0.1:8081"
            """;

    private static ResultException refusal(String text) {
        return assertThrows(
                ResultException.class, () -> InstanceSettingsLoader.parse("test.toml", text));
    }

    @Nested
    class Accepted {
        @Test
        void usesDefaultsForAbsentKeys() {
            final InstanceSettings settings = InstanceSettingsLoader.parse("test.toml", GATEWAY);

            assertEquals(InstanceSettings.Role.GATEWAY, settings.role());
            assertEquals(5_000, settings.keyWithdrawalMillis());
            assertEquals(8_000, settings.stopGraceMillis());
            assertEquals(List.of("10.0.0.2", "10.0.0.3"), settings.seedHosts());
        }
    }

    @Nested
    class Refused {
        @Test
        void reportsUnknownKeyWithItsLine() {
            final ResultException refusal = refusal(GATEWAY + "retries = 3\n");

            assertEquals(ResultCode.SETTINGS_INVALID, refusal.code());
            assertTrue(refusal.getMessage().contains("retries"), refusal.getMessage());
            assertTrue(refusal.getMessage().contains("9"), refusal.getMessage());
        }

        @Test
        void reportsMissingKeysOfTheControlRole() {
            final String text = GATEWAY.replace("role = \"gateway\"", "role = \"control\"");

            assertTrue(refusal(text).getMessage().contains("data_folder"));
        }

        @Test
        void refusesHostNameInPlaceOfIpNumber() {
            assertEquals(
                    ResultCode.SETTINGS_INVALID,
                    refusal(GATEWAY.replace("host = \"10.0.0.1\"", "host = \"localhost\"")).code());
        }
    }
}
