package org.crocushaven.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.placement.DispatcherAction.GrantPermit;
import org.crocushaven.placement.DispatcherAction.OrderLoad;
import org.crocushaven.placement.DispatcherAction.OrderUnload;
import org.crocushaven.placement.DispatcherAction.RefusePermit;
import org.crocushaven.placement.DispatcherAction.ReleaseLoadGrant;
import org.crocushaven.placement.DispatcherAction.RequestLoadGrant;
import org.crocushaven.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendDispatcherTest {
    private static final long SECOND = 1_000_000_000L;
    private static final AdapterVersion PINE = AdapterVersion.of("pine", "1");
    private static final AdapterVersion BEECH = AdapterVersion.of("beech", "1");
    private static final AdapterVersion OAK = AdapterVersion.of("oak", "1");

    private long now;
    private long sequence;

    private BackendDispatcher dispatcher(int adapterSlots, int requests, boolean checksFencing) {
        return BackendDispatcher.create(
                new BackendServer(
                        "e1",
                        "model",
                        "a",
                        "127.0.0.1",
                        9001,
                        1,
                        adapterSlots,
                        requests,
                        checksFencing),
                7,
                DispatcherSettings.defaults(),
                LeastRecentlyUsedEviction.create(),
                now);
    }

    private PermitRequest request(String identifier, AdapterVersion version) {
        return new PermitRequest(
                identifier,
                "i1",
                "villagers",
                1,
                Optional.of(version),
                100,
                3,
                now + 60 * SECOND,
                now);
    }

    private void report(BackendDispatcher dispatcher, List<AdapterVersion> loaded) {
        report(dispatcher, loaded, List.of());
    }

    private void report(
            BackendDispatcher dispatcher, List<AdapterVersion> loaded, List<AdapterVersion> busy) {
        sequence++;
        dispatcher.applyLoadReport(
                new LoadReport(1, sequence, busy.size(), 0, loaded, busy, false), now);
    }

    private static <T> List<T> actionsOfType(Class<T> kind, List<DispatcherAction> actions) {
        final List<T> found = new ArrayList<>();
        for (final DispatcherAction action : actions) {
            if (kind.isInstance(action)) {
                found.add(kind.cast(action));
            }
        }
        return found;
    }

    private void completeLoad(BackendDispatcher dispatcher, AdapterVersion version) {
        dispatcher.handleLoadGrant(version, now);
        dispatcher.loadFinished(version, ResultCode.OK, now);
    }

    @Nested
    class Loading {
        @Test
        void loadsMissingVersionThenGrantsPermit() {
            final BackendDispatcher dispatcher = dispatcher(2, 4, true);
            report(dispatcher, List.of());
            dispatcher.requestPermit(request("r1", PINE), now);
            assertEquals(1, actionsOfType(RequestLoadGrant.class, dispatcher.takeActions()).size());
            dispatcher.handleLoadGrant(PINE, now);
            assertEquals(
                    List.of(new OrderLoad(PINE, 7)),
                    actionsOfType(OrderLoad.class, dispatcher.takeActions()));
            dispatcher.loadFinished(PINE, ResultCode.OK, now);
            final List<DispatcherAction> actions = dispatcher.takeActions();
            assertEquals("r1", actionsOfType(GrantPermit.class, actions).get(0).requestId());
            assertTrue(actionsOfType(GrantPermit.class, actions).get(0).waitedForLoad());
            assertEquals(1, actionsOfType(ReleaseLoadGrant.class, actions).size());
        }

        @Test
        void refusesRequestsAfterFailedLoadAndDuringBackoff() {
            final BackendDispatcher dispatcher = dispatcher(2, 4, true);
            report(dispatcher, List.of());
            dispatcher.requestPermit(request("r1", PINE), now);
            dispatcher.handleLoadGrant(PINE, now);
            dispatcher.takeActions();
            dispatcher.loadFinished(PINE, ResultCode.ADAPTER_LOAD_FAILED, now);
            dispatcher.requestPermit(request("r2", PINE), now);
            final List<RefusePermit> refusals =
                    actionsOfType(RefusePermit.class, dispatcher.takeActions());
            assertEquals(2, refusals.size());
            assertEquals(ResultCode.ADAPTER_LOAD_FAILED, refusals.get(1).code());
            assertTrue(refusals.get(1).retryAfterNanos() > 0);
        }

        @Test
        void evictsIdleVersionInsteadOfPinnedOne() {
            final BackendDispatcher dispatcher = dispatcher(2, 4, true);
            report(dispatcher, List.of());
            dispatcher.requestPermit(request("r1", PINE), now);
            dispatcher.requestPermit(request("r2", BEECH), now);
            completeLoad(dispatcher, PINE);
            completeLoad(dispatcher, BEECH);
            dispatcher.returnPermit("r2", PermitOutcome.COMPLETED, now);
            dispatcher.takeActions();
            dispatcher.requestPermit(request("r3", OAK), now);
            dispatcher.handleLoadGrant(OAK, now);
            assertEquals(
                    List.of(new OrderUnload(BEECH, 7)),
                    actionsOfType(OrderUnload.class, dispatcher.takeActions()));
            dispatcher.unloadFinished(BEECH, ResultCode.OK, now);
            assertEquals(
                    List.of(new OrderLoad(OAK, 7)),
                    actionsOfType(OrderLoad.class, dispatcher.takeActions()));
        }

        @Test
        void loadsResidentVersionWithoutRequestAndDoesNotEvictIt() {
            final BackendDispatcher dispatcher = dispatcher(1, 4, true);
            report(dispatcher, List.of());
            dispatcher.setResidentVersions(Set.of(PINE), now);
            completeLoad(dispatcher, PINE);
            dispatcher.takeActions();
            dispatcher.requestPermit(request("r1", OAK), now);
            assertTrue(actionsOfType(RequestLoadGrant.class, dispatcher.takeActions()).isEmpty());
        }

        @Test
        void requestsLoadForStarvingRequestOnceDrainedVersionIsIdle() {
            final BackendDispatcher dispatcher = dispatcher(1, 4, true);
            report(dispatcher, List.of());
            dispatcher.requestPermit(request("r1", PINE), now);
            completeLoad(dispatcher, PINE);
            dispatcher.requestPermit(request("r2", OAK), now);
            now += SECOND;
            dispatcher.tick(now);
            dispatcher.requestPermit(request("r3", PINE), now);
            dispatcher.takeActions();
            dispatcher.returnPermit("r1", PermitOutcome.COMPLETED, now);
            final List<DispatcherAction> actions = dispatcher.takeActions();
            assertTrue(actionsOfType(GrantPermit.class, actions).isEmpty());
            assertEquals(OAK, actionsOfType(RequestLoadGrant.class, actions).get(0).version());
        }
    }

    @Nested
    class Takeover {
        @Test
        void withoutFencingGrantsPermitsOnlyAfterOrderLifetime() {
            final BackendDispatcher dispatcher = dispatcher(2, 4, false);
            report(dispatcher, List.of(PINE));
            dispatcher.requestPermit(request("r1", PINE), now);
            assertTrue(actionsOfType(GrantPermit.class, dispatcher.takeActions()).isEmpty());
            now += 2 * SECOND;
            dispatcher.tick(now);
            assertEquals(1, actionsOfType(GrantPermit.class, dispatcher.takeActions()).size());
        }

        @Test
        void withFencingGrantsPermitsOnlyAfterFirstConfirmedOrder() {
            final BackendDispatcher dispatcher = dispatcher(2, 4, true);
            report(dispatcher, List.of(PINE));
            dispatcher.requestPermit(request("r1", PINE), now);
            final List<DispatcherAction> before = dispatcher.takeActions();
            assertTrue(actionsOfType(GrantPermit.class, before).isEmpty());
            assertEquals(List.of(new OrderLoad(PINE, 7)), actionsOfType(OrderLoad.class, before));
            dispatcher.loadFinished(PINE, ResultCode.OK, now);
            assertEquals(1, actionsOfType(GrantPermit.class, dispatcher.takeActions()).size());
        }

        @Test
        void keepsReportedVersionUntilRedeclareWindowEndsAndReportShowsItIdle() {
            final BackendDispatcher dispatcher = dispatcher(1, 4, true);
            report(dispatcher, List.of(PINE), List.of(PINE));
            dispatcher.loadFinished(PINE, ResultCode.OK, now);
            dispatcher.requestPermit(request("r1", OAK), now);
            now += 3 * SECOND;
            report(dispatcher, List.of(PINE), List.of(PINE));
            assertTrue(actionsOfType(RequestLoadGrant.class, dispatcher.takeActions()).isEmpty());
            report(dispatcher, List.of(PINE));
            assertEquals(1, actionsOfType(RequestLoadGrant.class, dispatcher.takeActions()).size());
        }

        @Test
        void refusesAllRequestsAfterStaleFencingNumber() {
            final BackendDispatcher dispatcher = dispatcher(1, 4, true);
            report(dispatcher, List.of());
            dispatcher.requestPermit(request("r1", PINE), now);
            dispatcher.handleLoadGrant(PINE, now);
            dispatcher.takeActions();
            dispatcher.loadFinished(PINE, ResultCode.STALE_FENCING_NUMBER, now);
            dispatcher.requestPermit(request("r2", PINE), now);
            final List<RefusePermit> refusals =
                    actionsOfType(RefusePermit.class, dispatcher.takeActions());
            assertEquals(2, refusals.size());
            assertEquals(ResultCode.NOT_DISPATCHER, refusals.get(1).code());
        }
    }

    @Nested
    class LostHolders {
        @Test
        void lostPermitPinsVersionUntilLaterReportShowsItIdle() {
            final BackendDispatcher dispatcher = dispatcher(1, 1, true);
            report(dispatcher, List.of());
            dispatcher.requestPermit(request("r1", PINE), now);
            completeLoad(dispatcher, PINE);
            now += 3 * SECOND;
            dispatcher.handleHolderExpired("i1", now);
            dispatcher.takeActions();
            dispatcher.requestPermit(request("r2", OAK), now);
            report(dispatcher, List.of(PINE));
            assertTrue(actionsOfType(RequestLoadGrant.class, dispatcher.takeActions()).isEmpty());
            now += 2 * SECOND;
            report(dispatcher, List.of(PINE));
            assertEquals(
                    OAK,
                    actionsOfType(RequestLoadGrant.class, dispatcher.takeActions())
                            .get(0)
                            .version());
        }

        @Test
        void restartDiscardsLoadedVersionsButKeepsPermitsUntilReturned() {
            final BackendDispatcher dispatcher = dispatcher(1, 1, true);
            report(dispatcher, List.of());
            dispatcher.requestPermit(request("r1", PINE), now);
            completeLoad(dispatcher, PINE);
            dispatcher.applyLoadReport(
                    new LoadReport(2, 1, 0, 0, List.of(), List.of(), false), now);
            assertEquals(1, dispatcher.permitCount());
            assertFalse(dispatcher.summary().loaded().contains(PINE));
            dispatcher.returnPermit("r1", PermitOutcome.FAILED, now);
            assertEquals(0, dispatcher.permitCount());
        }
    }

    @Nested
    class Queueing {
        @Test
        void repeatsGrantForRepeatedRequest() {
            final BackendDispatcher dispatcher = dispatcher(1, 1, true);
            report(dispatcher, List.of());
            dispatcher.requestPermit(request("r1", PINE), now);
            completeLoad(dispatcher, PINE);
            dispatcher.takeActions();
            dispatcher.requestPermit(request("r1", PINE), now);
            assertEquals(1, actionsOfType(GrantPermit.class, dispatcher.takeActions()).size());
            assertEquals(1, dispatcher.permitCount());
        }

        @Test
        void refusesRequestThatCannotStartBeforeItsDeadline() {
            final BackendDispatcher dispatcher = dispatcher(1, 1, true);
            report(dispatcher, List.of());
            final PermitRequest requestWithShortDeadline =
                    new PermitRequest(
                            "r1", "i1", "o", 1, Optional.of(PINE), 1, 3, now + 1_000_000, now);
            dispatcher.requestPermit(requestWithShortDeadline, now);
            final RefusePermit refusal =
                    actionsOfType(RefusePermit.class, dispatcher.takeActions()).get(0);
            assertEquals(ResultCode.DEADLINE_UNREACHABLE, refusal.code());
            assertTrue(refusal.retryAfterNanos() > 0);
        }
    }
}
