package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocushaven.admission.ShareHolder;
import org.junit.jupiter.api.Test;

class RelayDirectoryTest {
    private final List<GatewayReport> known = new ArrayList<>();

    private static GatewayReport report(
            String gateway, String domain, String address, List<String> unreachable) {
        return report(gateway, domain, address, unreachable, !unreachable.isEmpty());
    }

    private static GatewayReport report(
            String gateway,
            String domain,
            String address,
            List<String> unreachable,
            boolean wantsRelays) {
        return new GatewayReport(
                gateway,
                1,
                1,
                1,
                1,
                List.of(),
                List.of(),
                ShareHolder.create(1).report(0),
                List.of(),
                TraitReport.EMPTY,
                List.of(),
                new PathReport(domain, address, unreachable, wantsRelays),
                List.of());
    }

    private void addGateways(String domain, int count) {
        for (int number = 1; number <= count; number++) {
            known.add(report(domain + number, domain, "10.0.0.1:80", List.of()));
        }
    }

    private List<String> relaysFor(GatewayReport asking) {
        return RelayDirectory.relaysFor(asking, known).stream().map(Relay::gateway).toList();
    }

    private static GatewayReport asking(String gateway) {
        return report(gateway, "a", "10.0.0.9:80", List.of("engines"));
    }

    @Test
    void ownDomainComesFirstAndAnotherIsAlwaysAmongThem() {
        addGateways("a", 9);
        addGateways("b", 9);

        final List<String> relays = relaysFor(asking("a0"));

        assertEquals(4, relays.size());
        assertTrue(relays.subList(0, 3).stream().allMatch(name -> name.startsWith("a")));
        assertTrue(relays.get(3).startsWith("b"));
    }

    @Test
    void gatewayThatIsCutOffItselfOrTakesNoneOrAsksIsNotOffered() {
        known.add(report("a1", "a", "10.0.0.1:80", List.of("engines")));
        known.add(report("a2", "a", "", List.of()));
        known.add(asking("a0"));

        assertEquals(List.of(), relaysFor(asking("a0")));
    }

    @Test
    void gatewayThatHasLostSomePathsIsOfferedLast() {
        known.add(report("a1", "a", "10.0.0.1:80", List.of(), true));
        known.add(report("b1", "b", "10.0.0.2:80", List.of()));

        assertEquals(List.of("b1", "a1"), relaysFor(asking("a0")));
    }

    /** Guards against a service that is down everywhere and hides who reaches the others. */
    @Test
    void gatewayThatReachesOneOfTheServicesIsOffered() {
        known.add(report("a1", "a", "10.0.0.1:80", List.of("desk")));

        assertEquals(
                List.of("a1"),
                relaysFor(report("a0", "a", "10.0.0.9:80", List.of("desk", "engines"))));
    }

    /** Guards against a herd: all gateways of a domain hand over to the same few. */
    @Test
    void manyThatAskAreSentToManyOthers() {
        addGateways("b", 20);
        final Map<String, Integer> offers = new HashMap<>();
        final Set<List<String>> different = new HashSet<>();
        for (int number = 1; number <= 20; number++) {
            final List<String> relays = relaysFor(asking("a" + number));
            different.add(relays);
            relays.forEach(name -> offers.merge(name, 1, Integer::sum));
        }

        assertNotEquals(1, different.size());
        assertTrue(offers.size() >= 15, offers::toString);
        assertTrue(offers.values().stream().allMatch(count -> count <= 12), offers::toString);
    }
}
