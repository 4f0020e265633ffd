package org.crocushaven.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.crocushaven.configuration.check.AddressCheck;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.DistinctElementsCheck;
import org.crocushaven.configuration.check.IpAddress;
import org.crocushaven.configuration.check.PatternCheck;
import org.crocushaven.configuration.check.RangeCheck;
import org.crocushaven.configuration.check.RequiredKeyCheck;
import org.crocushaven.configuration.check.SizeCheck;
import org.crocushaven.configuration.check.UnknownKeyCheck;
import org.crocushaven.configuration.check.ValueTypeCheck;

/** The checks of a settings file. */
final class SettingsChecks {
    private static final int MAXIMUM_SEEDS = 64;
    private static final int MAXIMUM_VOTERS = 7;
    private static final int MAXIMUM_CONNECTIONS = 1_000_000;
    private static final int MINIMUM_SIZE_LIMIT_BYTES = 1 << 10;
    private static final int MAXIMUM_BODY_BYTES = 64 << 20;
    private static final int MAXIMUM_HEADER_BYTES = 1 << 20;
    private static final long MINIMUM_TIMEOUT_MILLIS = 100;
    private static final long MAXIMUM_TIMEOUT_MILLIS = 3_600_000;
    private static final double MINIMUM_LOADS_PER_SECOND = 0.01;
    private static final double MAXIMUM_LOADS_PER_SECOND = 10_000;
    private static final int MAXIMUM_LOADS = 10_000;
    private static final double MAXIMUM_WEIGHT = 1_000;
    private static final Pattern SHA_256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern NON_EMPTY_PATH = Pattern.compile(".+");

    private SettingsChecks() {}

    /** Returns every check. */
    static List<Check> all() {
        final List<Check> checks = new ArrayList<>();
        checks.add(UnknownKeyCheck.of(SettingsKeys.ALL));
        checks.add(ValueTypeCheck.of(SettingsKeys.ALL));
        checks.add(RequiredKeyCheck.of(SettingsKeys.ALL));
        addTopLevelChecks(checks);
        addPortChecks(checks);
        addLimitChecks(checks);
        addPolicyChecks(checks);
        return checks;
    }

    private static void addTopLevelChecks(List<Check> checks) {
        checks.add(PatternCheck.name(SettingsKeys.INSTANCE));
        checks.add(PatternCheck.name(SettingsKeys.FAILURE_DOMAIN));
        checks.add(AddressCheck.ofIpAddress(SettingsKeys.HOST));
        checks.add(SizeCheck.of(SettingsKeys.SEEDS, 0, MAXIMUM_SEEDS));
        checks.add(AddressCheck.ofSocketAddress(SettingsKeys.SEED));
        checks.add(DistinctElementsCheck.ofTexts(SettingsKeys.SEEDS));
        checks.add(PatternCheck.of(SettingsKeys.DATA_FOLDER, NON_EMPTY_PATH, "a path"));
        checks.add(SizeCheck.of(SettingsKeys.INITIAL_VOTERS, 1, MAXIMUM_VOTERS));
        checks.add(PatternCheck.name(SettingsKeys.INITIAL_VOTER));
        checks.add(DistinctElementsCheck.ofTexts(SettingsKeys.INITIAL_VOTERS));
        checks.add(VoterDataFolderCheck.create());
        checks.add(
                PatternCheck.ofSecret(
                        SettingsKeys.OPERATOR_KEY_HASH,
                        SHA_256_HEX,
                        "SHA-256 as 64 lower-case hexadecimal digits"));
    }

    private static void addPortChecks(List<Check> checks) {
        for (final String key : SettingsKeys.PORT_KEYS) {
            checks.add(RangeCheck.of(key, 1, IpAddress.MAXIMUM_PORT));
        }
        checks.add(PortClashCheck.create());
    }

    private static void addLimitChecks(List<Check> checks) {
        checks.add(RangeCheck.of(SettingsKeys.MAXIMUM_CONNECTIONS, 1, MAXIMUM_CONNECTIONS));
        checks.add(
                RangeCheck.of(
                        SettingsKeys.MAXIMUM_BODY_BYTES,
                        MINIMUM_SIZE_LIMIT_BYTES,
                        MAXIMUM_BODY_BYTES));
        checks.add(
                RangeCheck.of(
                        SettingsKeys.MAXIMUM_HEADER_BYTES,
                        MINIMUM_SIZE_LIMIT_BYTES,
                        MAXIMUM_HEADER_BYTES));
        checks.add(timeoutCheck(SettingsKeys.RECEIVE_TIMEOUT_MILLIS));
        checks.add(timeoutCheck(SettingsKeys.WRITE_TIMEOUT_MILLIS));
        checks.add(timeoutCheck(SettingsKeys.DEFAULT_DEADLINE_MILLIS));
        checks.add(RangeCheck.of(SettingsKeys.STOP_GRACE_MILLIS, 0, MAXIMUM_TIMEOUT_MILLIS));
    }

    private static RangeCheck timeoutCheck(String key) {
        return RangeCheck.of(key, MINIMUM_TIMEOUT_MILLIS, MAXIMUM_TIMEOUT_MILLIS);
    }

    private static void addPolicyChecks(List<Check> checks) {
        checks.add(
                RangeCheck.of(
                        SettingsKeys.LOADS_PER_SECOND,
                        MINIMUM_LOADS_PER_SECOND,
                        MAXIMUM_LOADS_PER_SECOND));
        checks.add(RangeCheck.of(SettingsKeys.FULL_SPEED_LOADS, 1, MAXIMUM_LOADS));
        checks.add(RangeCheck.of(SettingsKeys.MAXIMUM_IN_FLIGHT, 1, MAXIMUM_LOADS));
        checks.add(LoadBudgetCheck.create());
        checks.add(RangeCheck.of(SettingsKeys.LOAD_STALLS, 0, MAXIMUM_WEIGHT));
        checks.add(RangeCheck.of(SettingsKeys.WORST_ORGANISATION, 0, MAXIMUM_WEIGHT));
        checks.add(RangeCheck.of(SettingsKeys.WRONGFUL_REFUSALS, 0, MAXIMUM_WEIGHT));
        checks.add(RangeCheck.of(SettingsKeys.BATCH_EFFICIENCY, 0, MAXIMUM_WEIGHT));
    }
}
