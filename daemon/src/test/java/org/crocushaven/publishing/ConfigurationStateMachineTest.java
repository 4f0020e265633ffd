package org.crocushaven.publishing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import net.jqwik.api.statistics.Statistics;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.DrainBackendServer;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.KeyGrant;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.Service;
import org.crocushaven.configuration.UndrainBackendServer;
import org.crocushaven.configuration.WithdrawKey;
import org.crocushaven.result.ResultCode;

/**
 * Applies the same changes, resends and restores to the state machine and to its {@linkplain
 * ConfigurationOracle reference model}.
 */
class ConfigurationStateMachineTest {
    private static final int WINDOW = 12;
    private static final int MAXIMUM_ACTIONS = 60;
    private static final List<ResultCode> EXPECTED_CODES =
            List.of(
                    ResultCode.OK,
                    ResultCode.CHANGE_NUMBER_REUSED,
                    ResultCode.CHANGE_NUMBER_FORGOTTEN,
                    ResultCode.CHANGE_CONFLICT,
                    ResultCode.CHANGE_INVALID,
                    ResultCode.KEY_ALREADY_GRANTED,
                    ResultCode.UNKNOWN_KEY,
                    ResultCode.UNKNOWN_ORGANISATION,
                    ResultCode.UNKNOWN_BACKEND_SERVER);

    @Property(tries = 400, seed = "20261203")
    void answersLikeTheOracle(@ForAll("chains") ActionChain<MachineAndOracle> chain) {
        // Statistics without entries would hide the report of a failure early in the chain, so each
        // label gets an entry first.
        Statistics.label("events").collect("chain");
        Statistics.label("answers").collect("chain");
        chain.run();
        Statistics.label("answers")
                .coverage(
                        coverage -> {
                            for (final ResultCode code : EXPECTED_CODES) {
                                coverage.check(code).count(count -> count > 0);
                            }
                        });
        Statistics.label("events")
                .coverage(
                        coverage -> {
                            coverage.check("resend").count(count -> count > 0);
                            coverage.check("restore").count(count -> count > 0);
                        });
    }

    @Provide
    Arbitrary<ActionChain<MachineAndOracle>> chains() {
        return ActionChain.startWith(MachineAndOracle::new)
                .withAction(6, new Send())
                .withAction(2, new Resend())
                .withAction(1, new Restore())
                .withMaxTransformations(MAXIMUM_ACTIONS);
    }

    private static Arbitrary<Change> changes() {
        final Arbitrary<Change> grants =
                Combinators.combine(hashes(), organisationNames())
                        .as((hash, organisation) -> new GrantKey(hash, organisation, "label"));
        return Arbitraries.oneOf(
                publications().map(change -> (Change) change),
                grants,
                hashes().map(hash -> new WithdrawKey(hash.hex())),
                Arbitraries.of("e1", "e2").map(DrainBackendServer::new),
                Arbitraries.of("e1", "e2").map(UndrainBackendServer::new));
    }

    private static Arbitrary<PublishServices> publications() {
        return Combinators.combine(
                        Arbitraries.of("p", "q"),
                        Arbitraries.of("s1", "s2").set().ofMaxSize(2),
                        organisationNames().set().ofMaxSize(3),
                        adapters().list().uniqueElements(Adapter::name).ofMaxSize(2))
                .as(
                        (publisher, services, organisations, adapters) ->
                                new PublishServices(
                                        publisher,
                                        services.stream().map(MachineAndOracle::service).toList(),
                                        organisations.stream()
                                                .map(MachineAndOracle::organisation)
                                                .toList(),
                                        adapters));
    }

    private static Arbitrary<Adapter> adapters() {
        return Combinators.combine(
                        Arbitraries.of("a1", "a2", "a3"),
                        Arbitraries.of("s1", "s2"),
                        organisationNames().set().ofMaxSize(1))
                .as(
                        (name, service, organisations) ->
                                new Adapter(
                                        name,
                                        service,
                                        List.of("1", "2"),
                                        "2",
                                        List.copyOf(organisations)));
    }

    private static Arbitrary<String> organisationNames() {
        return Arbitraries.of("o1", "o2", "o3");
    }

    private static Arbitrary<KeyHash> hashes() {
        return Arbitraries.of("k1", "k2", "k3").map(KeyHash::ofKey);
    }

    /** Sends a change with a number that may equal or precede those of earlier changes. */
    private static final class Send implements Action.Independent<MachineAndOracle> {
        @Override
        public Arbitrary<Transformer<MachineAndOracle>> transformer() {
            return Combinators.combine(
                            Arbitraries.of("anna", "bo"),
                            Arbitraries.integers().between(-2, 6),
                            changes())
                    .as(
                            (operator, step, change) ->
                                    Transformer.mutate(
                                            operator + " +" + step + " " + change,
                                            both -> both.send(operator, step, change)));
        }
    }

    /** Sends an earlier change again. */
    private static final class Resend implements Action.Independent<MachineAndOracle> {
        @Override
        public Arbitrary<Transformer<MachineAndOracle>> transformer() {
            return Arbitraries.integers()
                    .between(0, MAXIMUM_ACTIONS)
                    .map(age -> Transformer.mutate("resend " + age, both -> both.resend(age)));
        }
    }

    /** Replaces the state machine by one restored from its snapshot. */
    private static final class Restore implements Action.Independent<MachineAndOracle> {
        @Override
        public Arbitrary<Transformer<MachineAndOracle>> transformer() {
            return Arbitraries.just(Transformer.mutate("restore", MachineAndOracle::restore));
        }
    }

    /** Applies each change to both the state machine and the oracle and compares them. */
    static final class MachineAndOracle {
        private final ChangeCodec codec = new ChangeCodec();
        private final ConfigurationOracle oracle = new ConfigurationOracle(WINDOW);
        private final List<NumberedChange> sent = new ArrayList<>();
        private ConfigurationStateMachine machine = ConfigurationStateMachine.withWindow(WINDOW);
        private long highestNumber;
        private long index;

        static Service service(String name) {
            return new Service(name, Service.Kind.ENGINE, "m-" + name, false, List.of(), List.of());
        }

        static Organisation organisation(String name) {
            return new Organisation(name, 100, 1_000, 1);
        }

        void send(String operator, int step, Change change) {
            final long number = highestNumber + step;
            highestNumber = Math.max(highestNumber, number);
            apply(new NumberedChange(operator, number, change));
        }

        void resend(int age) {
            if (sent.size() > age) {
                Statistics.label("events").collect("resend");
                apply(sent.get(sent.size() - 1 - age));
            }
        }

        void restore() {
            Statistics.label("events").collect("restore");
            final byte[] snapshot = machine.snapshot();
            machine = ConfigurationStateMachine.withWindow(WINDOW);
            machine.restore(index, snapshot);
            assertArrayEquals(snapshot, machine.snapshot());
            compareStates();
        }

        private void apply(NumberedChange change) {
            sent.add(change);
            index++;
            final ChangeAnswer actual;
            try {
                actual = codec.decodeAnswer(machine.apply(index, codec.encodeChange(change)));
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
            final ConfigurationOracle.Answer expected = oracle.answer(change);
            assertEquals(expected.code(), actual.resultCode(), actual.detail());
            assertEquals(expected.revision(), actual.revision());
            Statistics.label("answers").collect(actual.resultCode());
            compareStates();
        }

        private void compareStates() {
            final FleetConfiguration configuration = machine.configuration();
            assertEquals(oracle.revision(), configuration.revision());
            assertEquals(oracle.organisations(), configuration.organisations().keySet());
            assertEquals(oracle.adapters(), configuration.adapters().keySet());
            assertEquals(oracle.drained(), configuration.drained());
            assertEquals(oracle.activeKeys(), activeKeys(configuration));
            assertEquals(oracle.withdrawnKeys(), withdrawnKeys(configuration));
        }

        private static Map<String, String> activeKeys(FleetConfiguration configuration) {
            return configuration.keys().values().stream()
                    .filter(grant -> !grant.withdrawn())
                    .collect(Collectors.toMap(grant -> grant.hash().hex(), KeyGrant::organisation));
        }

        private static Set<String> withdrawnKeys(FleetConfiguration configuration) {
            return configuration.keys().values().stream()
                    .filter(KeyGrant::withdrawn)
                    .map(grant -> grant.hash().hex())
                    .collect(Collectors.toSet());
        }
    }
}
