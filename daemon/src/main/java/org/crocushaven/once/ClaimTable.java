package org.crocushaven.once;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.crocushaven.consensus.StateMachine;
import org.crocushaven.once.ClaimDecision.Kind;
import org.crocushaven.protocol.MessageCodec;

/**
 * Replicated state machine that stores the claims of calls which must run at most once.
 *
 * <p>An attempt may send only after its {@code SEND} was granted. A claim without a granted {@code
 * SEND} can therefore safely pass to another attempt, even if the session of the first one was
 * expired by mistake: its {@code SEND} is then refused. After {@code SEND} was granted, only the
 * attempt itself can release the call. If its session has expired, the outcome is unknown unless
 * the attempt still completes, and the call is not repeated.
 *
 * <p>Table time follows the times in the commands and never goes back. One command advances it by
 * at most one minute, so that a single wrong clock cannot expire the whole table.
 */
public final class ClaimTable implements StateMachine {
    private static final long MAXIMUM_CLOCK_STEP_MILLIS = 60_000;

    private final ClaimLimits limits;

    /** Claims in the order of their creation, which is the order of their expiry. */
    private final Map<ClaimKey, Claim> claims = new LinkedHashMap<>();

    private long tableMillis;
    private long answerBytes;

    private ClaimTable(ClaimLimits limits) {
        this.limits = limits;
    }

    /** Returns an empty table. */
    public static ClaimTable create(ClaimLimits limits) {
        return new ClaimTable(limits);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        return decide(ClaimCommand.decode(command)).encode();
    }

    @Override
    public byte[] snapshot() {
        return MessageCodec.encodeValue(
                new TableSnapshot(tableMillis, List.copyOf(claims.values())));
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        final TableSnapshot content = MessageCodec.decodeValue(snapshot, TableSnapshot.class);
        claims.clear();
        content.claims().forEach(claim -> claims.put(claim.key(), claim));
        tableMillis = content.tableMillis();
        answerBytes = content.claims().stream().mapToLong(Claim::answerBytes).sum();
    }

    /** Returns the number of claims in the table. */
    public int size() {
        return claims.size();
    }

    ClaimDecision decide(ClaimCommand command) {
        advanceTime(command.nowMillis());
        return switch (command.kind()) {
            case CLAIM -> claim(command);
            case SEND -> send(command);
            case COMPLETE -> complete(command);
            case RELEASE -> release(command);
            case ABANDON -> abandon(command);
            case EXPIRE_CLAIMER -> expireClaimer(command.claimId());
        };
    }

    private ClaimDecision claim(ClaimCommand command) {
        final Claim held = claims.get(command.key());
        if (held == null) {
            return claimFirst(command);
        }
        if (held.state() == ClaimState.RELEASED) {
            return isHeldBy(held, command.claimId())
                    ? ClaimDecision.of(Kind.SUPERSEDED)
                    : takeOver(command, held);
        }
        if (!Arrays.equals(held.digest(), command.digest())) {
            return ClaimDecision.of(Kind.CONTENT_DIFFERS);
        }
        return switch (held.state()) {
            case CLAIMED -> claimUnsent(command, held);
            case FINISHED -> ClaimDecision.finished(held.answer());
            case UNKNOWN -> ClaimDecision.of(Kind.OUTCOME_UNKNOWN);
            default -> ClaimDecision.of(Kind.IN_FLIGHT);
        };
    }

    private ClaimDecision claimFirst(ClaimCommand command) {
        if (claims.size() >= limits.maximumClaims()) {
            return ClaimDecision.of(Kind.TABLE_FULL);
        }
        claims.put(command.key(), Claim.of(command, tableMillis));
        return ClaimDecision.granted();
    }

    /**
     * Decides on a claim for which nothing was sent: it is granted to its holder again, and to
     * another attempt after the takeover time.
     */
    private ClaimDecision claimUnsent(ClaimCommand command, Claim held) {
        if (isHeldBy(held, command.claimId())) {
            return ClaimDecision.granted();
        }
        return tableMillis - held.claimedMillis() < limits.takeoverMillis()
                ? ClaimDecision.of(Kind.IN_FLIGHT)
                : takeOver(command, held);
    }

    private ClaimDecision takeOver(ClaimCommand command, Claim held) {
        claims.replace(command.key(), held.takenOverBy(command, tableMillis));
        return ClaimDecision.granted();
    }

    private ClaimDecision send(ClaimCommand command) {
        final Claim held = claims.get(command.key());
        final boolean holds =
                isHeldBy(held, command.claimId())
                        && (held.state() == ClaimState.CLAIMED
                                || held.state() == ClaimState.SENDING);
        if (!holds) {
            return ClaimDecision.of(Kind.SUPERSEDED);
        }
        claims.replace(command.key(), held.withState(ClaimState.SENDING));
        return ClaimDecision.granted();
    }

    private ClaimDecision complete(ClaimCommand command) {
        final Claim held = claims.get(command.key());
        if (!isHeldBy(held, command.claimId()) || isUnsent(held)) {
            return ClaimDecision.of(Kind.SUPERSEDED);
        }
        if (held.state() != ClaimState.FINISHED) {
            final byte[] answer = fitsLimits(command.answer()) ? command.answer() : null;
            final Claim finished = held.finishedWith(answer);
            answerBytes += finished.answerBytes();
            claims.replace(command.key(), finished);
        }
        return ClaimDecision.granted();
    }

    /**
     * Releases a claim. Without a claim, stores the release itself, because the claim command of
     * the attempt may arrive later and must then be refused.
     */
    private ClaimDecision release(ClaimCommand command) {
        final Claim held = claims.get(command.key());
        if (held == null && claims.size() < limits.maximumClaims()) {
            final Claim claim = Claim.of(command, tableMillis);
            claims.put(command.key(), claim.withState(ClaimState.RELEASED));
        } else if (isHeldBy(held, command.claimId()) && held.state() != ClaimState.FINISHED) {
            claims.replace(command.key(), held.withState(ClaimState.RELEASED));
        }
        return ClaimDecision.granted();
    }

    private ClaimDecision abandon(ClaimCommand command) {
        final Claim held = claims.get(command.key());
        if (isHeldBy(held, command.claimId()) && held.state() == ClaimState.SENDING) {
            claims.replace(command.key(), held.withState(ClaimState.UNKNOWN));
        }
        return ClaimDecision.granted();
    }

    private ClaimDecision expireClaimer(ClaimId last) {
        claims.replaceAll((key, held) -> isClaimedBySession(held, last) ? expire(held) : held);
        return ClaimDecision.granted();
    }

    private static boolean isClaimedBySession(Claim held, ClaimId last) {
        return held.claimId().instance().equals(last.instance())
                && held.claimId().session() <= last.session();
    }

    private static Claim expire(Claim held) {
        return switch (held.state()) {
            case CLAIMED -> held.withState(ClaimState.RELEASED);
            case SENDING -> held.withState(ClaimState.UNKNOWN);
            default -> held;
        };
    }

    private void advanceTime(long nowMillis) {
        if (tableMillis == 0) {
            tableMillis = nowMillis;
        }
        tableMillis =
                Math.max(tableMillis, Math.min(nowMillis, tableMillis + MAXIMUM_CLOCK_STEP_MILLIS));
        final Iterator<Claim> oldest = claims.values().iterator();
        while (oldest.hasNext()) {
            final Claim claim = oldest.next();
            if (tableMillis - claim.createdMillis() < limits.retentionMillis()) {
                return;
            }
            answerBytes -= claim.answerBytes();
            oldest.remove();
        }
    }

    private boolean fitsLimits(byte[] answer) {
        return answer.length <= limits.maximumAnswerBytes()
                && answerBytes + answer.length <= limits.maximumTotalAnswerBytes();
    }

    private static boolean isUnsent(Claim held) {
        return held.state() == ClaimState.CLAIMED || held.state() == ClaimState.RELEASED;
    }

    private static boolean isHeldBy(Claim held, ClaimId claimId) {
        return held != null && held.claimId().equals(claimId);
    }

    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record TableSnapshot(long tableMillis, List<Claim> claims) {
        private TableSnapshot {
            claims = new ArrayList<>(claims);
        }
    }
}
