package org.crocushaven.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.fuzz.FaultCounts;

/** Simulates holders, leaders and a lossy network on a virtual clock with a seeded generator. */
final class ShareFleet {
    private static final int HOLDERS = 4;
    private static final long MILLISECOND = 1_000_000L;
    private static final long MAXIMUM_STEP = 25 * MILLISECOND;
    private static final long LEASE = ShareAllocatorSettings.defaults().leaseNanos();
    private static final List<String> NAMES = List.of("foresters", "villagers");

    private final SplittableRandom random;
    private final FaultCounts<ShareFault> counts;
    private final UsageOracle usage = new UsageOracle(LEASE);
    private final ShareHolder[] holders = new ShareHolder[HOLDERS];
    private final long[] clockOffsets = new long[HOLDERS];
    private final List<Organisation> organisations = new ArrayList<>();
    private final List<Sent> network = new ArrayList<>();
    private final List<OpenCharge> openCharges = new ArrayList<>();
    private ShareAllocator leader;
    private long epoch = 1;
    private long incarnation = 1;
    private int isolated = -1;
    private long isolatedUntil;
    private boolean limitsChange;
    private long now;

    private ShareFleet(long seed, FaultCounts<ShareFault> counts) {
        this.random = new SplittableRandom(seed);
        this.counts = counts;
    }

    static ShareFleet create(long seed, FaultCounts<ShareFault> counts) {
        final ShareFleet fleet = new ShareFleet(seed, counts);
        for (final String name : NAMES) {
            final long rate = fleet.random.nextLong(50, 2_000);
            final long burst = (long) (rate * fleet.random.nextDouble(0.1, 4));
            final Organisation organisation = new Organisation(name, rate, burst, 1);
            fleet.organisations.add(organisation);
            fleet.usage.limit(organisation, 0);
        }
        for (int index = 0; index < HOLDERS; index++) {
            fleet.holders[index] = ShareHolder.create(fleet.incarnation);
            fleet.clockOffsets[index] = fleet.random.nextLong(1_000_000_000_000L);
        }
        fleet.limitsChange = fleet.random.nextBoolean();
        fleet.elect();
        return fleet;
    }

    UsageOracle usage() {
        return usage;
    }

    void step() {
        now += random.nextLong(MAXIMUM_STEP);
        if (isolated >= 0 && now >= isolatedUntil) {
            final int rejoining = isolated;
            drainAll(2);
            isolated = -1;
            drain(rejoining);
        }
        final int choice = random.nextInt(100);
        if (choice < 15) {
            charge(random.nextInt(HOLDERS));
        } else if (choice < 17) {
            drainAll(random.nextInt(6));
        } else if (choice < 45) {
            settle();
        } else if (choice < 65) {
            report(random.nextInt(HOLDERS));
        } else if (choice < 97) {
            for (int message = random.nextInt(3); message >= 0; message--) {
                deliver();
            }
        } else if (choice < 98) {
            exchangeRepeatedly(random.nextInt(40));
        } else {
            rareStep(random.nextInt(13));
        }
    }

    private void rareStep(int choice) {
        if (choice < 3) {
            isolate();
        } else if (choice < 5) {
            if (limitsChange) {
                changeLimits();
            }
        } else if (choice < 7) {
            crash(random.nextInt(HOLDERS));
        } else if (choice < 9) {
            elect();
            drainAll(4);
        } else if (choice < 10) {
            isolate();
            elect();
        } else if (choice < 11) {
            network.clear();
        } else if (choice < 12) {
            now += random.nextLong(2 * LEASE);
        } else {
            restartAll();
        }
    }

    /** Restarts every holder and the leader, which then learns for how long nobody held a share. */
    private void restartAll() {
        counts.count(ShareFault.ALL_RESTARTED);
        drainAll(2);
        network.clear();
        isolated = -1;
        for (int index = 0; index < HOLDERS; index++) {
            crash(index);
            holders[index].report(now + clockOffsets[index]);
        }
        elect();
        long emptyNanos = Long.MAX_VALUE;
        for (int index = 0; index < HOLDERS; index++) {
            final ShareReport report = holders[index].report(now + clockOffsets[index]);
            emptyNanos = Math.min(emptyNanos, report.emptyNanos());
            holders[index].apply(
                    leader.handle("i" + index, report, now), now + clockOffsets[index]);
        }
        leader.endWithholding(emptyNanos, now);
        drainAll(4);
    }

    /** Returns whether half of the burst can be used again once messages are delivered reliably. */
    boolean recovers() {
        network.clear();
        isolated = -1;
        final Organisation organisation = organisations.get(0);
        final long fillNanos =
                organisation.burstTokens() * 1_000_000_000L / organisation.tokensPerSecond();
        final long filled = now + 3 * LEASE + 2 * fillNanos;
        while (now < filled) {
            exchange();
        }
        for (int attempt = 0; attempt < 20; attempt++) {
            if (tryCharge(0, organisation.name(), organisation.burstTokens() / 2)) {
                return true;
            }
            exchange();
        }
        return false;
    }

    private void exchange() {
        for (int index = 0; index < HOLDERS; index++) {
            if (index == isolated) {
                continue;
            }
            now += MILLISECOND;
            final ShareReport report = holders[index].report(now + clockOffsets[index]);
            final ShareGrant grant = leader.handle("i" + index, report, now);
            holders[index].apply(grant, now + clockOffsets[index]);
        }
        now += 80 * MILLISECOND;
        leader.tick(now);
    }

    /** Isolates a holder for a time shorter than its lease. */
    private void isolate() {
        counts.count(ShareFault.HOLDER_ISOLATED);
        exchange();
        isolated = random.nextInt(HOLDERS);
        for (int index = 0; index < HOLDERS; index++) {
            if (index != isolated) {
                drain(index);
            }
        }
        exchange();
        final ShareReport unanswered = holders[isolated].report(now + clockOffsets[isolated]);
        leader.handle("i" + isolated, unanswered, now);
        isolatedUntil = now + random.nextLong(LEASE / 2, LEASE - 100 * MILLISECOND);
    }

    private void charge(int index) {
        final Organisation organisation = organisations.get(random.nextInt(NAMES.size()));
        final long tokens = 1 + random.nextLong(Math.max(1, organisation.burstTokens() / 8));
        if (!tryCharge(index, organisation.name(), tokens)) {
            counts.count(ShareFault.CHARGE_REFUSED);
        }
    }

    private boolean tryCharge(int index, String organisation, long tokens) {
        final Charge charge =
                holders[index].tryCharge(organisation, tokens, now + clockOffsets[index]);
        if (charge.granted()) {
            openCharges.add(new OpenCharge(index, charge, usage.used(organisation, tokens, now)));
        }
        return charge.granted();
    }

    /** Uses all available tokens, moving shares to the holders in between. */
    private void drainAll(int rounds) {
        final int start = random.nextInt(HOLDERS);
        for (int index = 0; index < HOLDERS; index++) {
            drain((start + index) % HOLDERS);
        }
        for (int round = 0; round < rounds; round++) {
            final int index = random.nextInt(HOLDERS);
            report(index);
            deliver();
            deliver();
            drain(index);
            now += random.nextLong(3 * MILLISECOND);
        }
    }

    private void drain(int index) {
        for (final Organisation organisation : organisations) {
            final long tokens = Math.max(1, organisation.burstTokens() / 50);
            while (tryCharge(index, organisation.name(), tokens)) {
                counts.count(ShareFault.BUCKET_DRAINED);
            }
        }
    }

    private void exchangeRepeatedly(int rounds) {
        for (int round = 0; round < rounds; round++) {
            exchange();
        }
    }

    private void settle() {
        if (openCharges.isEmpty()) {
            return;
        }
        final OpenCharge ended = openCharges.remove(random.nextInt(openCharges.size()));
        final long used = random.nextBoolean() ? 0 : random.nextLong(ended.charge.tokens() + 1);
        ended.use.settle(used);
        counts.count(ShareFault.CHARGE_REFUNDED);
        if (!holders[ended.holder].isLeased(now + clockOffsets[ended.holder])) {
            counts.count(ShareFault.REFUND_AFTER_EXPIRY);
        }
        holders[ended.holder].settle(ended.charge, used, now + clockOffsets[ended.holder]);
    }

    private void report(int index) {
        if (random.nextInt(10) == 0) {
            counts.count(ShareFault.REPORT_LOST);
        }
        final boolean leasedBefore = holders[index].isLeased(now + clockOffsets[index]);
        if (!leasedBefore) {
            counts.count(ShareFault.HOLDER_LEASE_EXPIRED);
        }
        final ShareReport report = holders[index].report(now + clockOffsets[index]);
        if (random.nextInt(10) != 0) {
            network.add(new Sent(index, report, null, epoch));
        }
    }

    private void deliver() {
        if (network.isEmpty()) {
            return;
        }
        final int position = random.nextInt(3) == 0 ? random.nextInt(network.size()) : 0;
        if (position > 0) {
            counts.count(ShareFault.MESSAGE_REORDERED);
        }
        final Sent sent = network.get(position);
        if (random.nextInt(10) == 0) {
            counts.count(ShareFault.MESSAGE_DOUBLED);
        } else {
            network.remove(position);
        }
        if (sent.holder == isolated) {
            return;
        }
        if (sent.grant != null) {
            if (sent.epoch < epoch) {
                counts.count(ShareFault.OLD_GRANT_AFTER_LEADER_CHANGE);
            }
            holders[sent.holder].apply(sent.grant, now + clockOffsets[sent.holder]);
            return;
        }
        final ShareGrant grant = leader.handle("i" + sent.holder, sent.report, now);
        if (random.nextInt(10) == 0) {
            counts.count(ShareFault.GRANT_LOST);
        } else {
            network.add(new Sent(sent.holder, null, grant, epoch));
        }
    }

    private void changeLimits() {
        final int index = random.nextInt(organisations.size());
        final Organisation old = organisations.get(index);
        final boolean raise = random.nextBoolean();
        counts.count(raise ? ShareFault.RATE_RAISED : ShareFault.RATE_LOWERED);
        final double factor = raise ? 1.5 : 0.6;
        final Organisation changed =
                new Organisation(
                        old.name(),
                        Math.max(10, (long) (old.tokensPerSecond() * factor)),
                        Math.max(100, (long) (old.burstTokens() * factor)),
                        1);
        organisations.set(index, changed);
        usage.limit(changed, now);
        leader.applyOrganisations(organisations, now);
    }

    private void crash(int index) {
        if (holders[index].isLeased(now + clockOffsets[index])) {
            counts.count(ShareFault.HOLDER_CRASHED_WITH_TOKENS);
        }
        openCharges.removeIf(entry -> entry.holder == index);
        incarnation += 1_000;
        holders[index] = ShareHolder.create(incarnation);
    }

    private void elect() {
        if (leader != null) {
            counts.count(ShareFault.LEADER_CHANGED);
            now += random.nextLong(LEASE);
        }
        epoch++;
        leader =
                ShareAllocator.create(epoch, ShareAllocatorSettings.defaults(), organisations, now);
    }

    private record Sent(int holder, ShareReport report, ShareGrant grant, long epoch) {}

    private record OpenCharge(int holder, Charge charge, UsageOracle.Use use) {}
}
