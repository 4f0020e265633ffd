package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.Relay;
import org.junit.jupiter.api.Test;

class RelaysTest {
    private static final Relay FIRST = new Relay("first", "10.0.0.1:80", List.of(), "a");
    private static final Relay SECOND = new Relay("second", "10.0.0.2:80", List.of("desk"), "a");

    private final Relays relays = new Relays();

    RelaysTest() {
        relays.apply(List.of(FIRST, SECOND));
    }

    private Optional<String> chosen(String service, String... tried) {
        return relays.choose(service, Set.of(tried), relay -> true, 0).map(Relay::gateway);
    }

    @Test
    void theOneWithFewestRequestsIsChosen() {
        relays.requestStarted(FIRST);
        assertEquals(Optional.of("second"), chosen("engines"));

        relays.requestEnded(FIRST);

        assertEquals(Optional.of("first"), chosen("engines"));
    }

    @Test
    void oneThatMayNotHaveTheBodyIsNotChosen() {
        assertEquals(
                Optional.of("second"),
                relays.choose(
                                "engines",
                                Set.of(),
                                relay -> !relay.gateway().equals("first"),
                                TimeUnit.SECONDS.toNanos(1))
                        .map(Relay::gateway));
    }

    @Test
    void theOneThatFailedIsChosenOnlyIfThereIsNoOther() {
        relays.failed(FIRST, 0);

        assertEquals(Optional.of("second"), chosen("engines"));
        assertEquals(Optional.of("first"), chosen("desk"));
        relays.requestStarted(SECOND);
        assertEquals(
                Optional.of("first"),
                relays.choose("engines", Set.of(), relay -> true, TimeUnit.SECONDS.toNanos(1))
                        .map(Relay::gateway));
    }

    @Test
    void theOneThatDoesNotReachTheServiceOrWasTriedIsNotChosen() {
        assertEquals(Optional.of("first"), chosen("desk"));
        assertTrue(chosen("desk", "first").isEmpty());
    }
}
