package org.crocushaven.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class RouteTableTest {
    private static final String HOST = "host";

    private static IngressRoute route(String prefix) {
        return new IngressRoute(
                prefix,
                HOST,
                prefix,
                RouteKind.IDEMPOTENT,
                1,
                1,
                1,
                0,
                List.of(new WeightedService("service", 1)),
                1,
                true,
                false,
                List.of());
    }

    private static String path(Random random, int parts) {
        final StringBuilder path = new StringBuilder("/");
        for (int part = 0; part < parts; part++) {
            path.append((char) ('a' + random.nextInt(2))).append('/');
        }
        return path.toString();
    }

    /** Compares the result with a linear search through all routes. */
    @Property(tries = 300)
    void findsRouteWithLongestPrefix(@ForAll long seed) {
        final Random random = new Random(seed);
        final List<IngressRoute> routes = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            final String prefix = path(random, random.nextInt(4));
            if (routes.stream().noneMatch(known -> known.pathPrefix().equals(prefix))) {
                routes.add(route(prefix));
            }
        }
        final String path = path(random, random.nextInt(5)) + (random.nextBoolean() ? "x" : "");

        final Optional<IngressRoute> expected =
                routes.stream()
                        .filter(candidate -> path.startsWith(candidate.pathPrefix()))
                        .max(Comparator.comparingInt(found -> found.pathPrefix().length()));
        assertEquals(expected, RouteTable.of(routes).find(HOST, path));
    }
}
