package org.crocushaven.publishing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.DrainBackendServer;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.Service;
import org.crocushaven.configuration.UndrainBackendServer;
import org.crocushaven.configuration.WithdrawKey;
import org.crocushaven.result.ResultCode;

/** Reference model of the configuration that searches the complete history for every change. */
final class ConfigurationOracle {
    private final int window;
    private final List<NumberedChange> history = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    private final Map<String, PublishServices> published = new HashMap<>();
    private final Map<String, String> activeKeys = new HashMap<>();
    private final Set<String> withdrawnKeys = new HashSet<>();
    private final Set<String> drained = new HashSet<>();
    private long revision;

    ConfigurationOracle(int window) {
        this.window = window;
    }

    /** Returns the expected answer to a change and adds both to the history. */
    Answer answer(NumberedChange change) {
        final int oldestKept = Math.max(0, history.size() - window);
        for (int index = history.size() - 1; index >= 0; index--) {
            final NumberedChange earlier = history.get(index);
            final boolean sameOperator = earlier.operator().equals(change.operator());
            if (sameOperator && earlier.number() == change.number() && index >= oldestKept) {
                return earlier.change().equals(change.change())
                        ? answers.get(index)
                        : new Answer(ResultCode.CHANGE_NUMBER_REUSED, revision);
            }
        }
        for (int index = 0; index < oldestKept; index++) {
            final NumberedChange earlier = history.get(index);
            if (earlier.operator().equals(change.operator())
                    && earlier.number() >= change.number()) {
                return new Answer(ResultCode.CHANGE_NUMBER_FORGOTTEN, revision);
            }
        }
        final ResultCode code = expectedCode(change.change());
        if (code == ResultCode.OK) {
            revision++;
            accept(change.change());
        }
        final Answer answer = new Answer(code, revision);
        history.add(change);
        answers.add(answer);
        return answer;
    }

    long revision() {
        return revision;
    }

    Set<String> organisations() {
        return names(published);
    }

    Set<String> adapters() {
        return published.values().stream()
                .flatMap(each -> each.adapters().stream())
                .map(Adapter::name)
                .collect(Collectors.toSet());
    }

    Map<String, String> activeKeys() {
        return activeKeys;
    }

    Set<String> withdrawnKeys() {
        return withdrawnKeys;
    }

    Set<String> drained() {
        return drained;
    }

    private ResultCode expectedCode(Change change) {
        if (change instanceof PublishServices publication) {
            return expectedPublicationCode(publication);
        }
        if (change instanceof GrantKey grant) {
            if (!organisations().contains(grant.organisation())) {
                return ResultCode.UNKNOWN_ORGANISATION;
            }
            final String hex = grant.hash().hex();
            final boolean known = activeKeys.containsKey(hex) || withdrawnKeys.contains(hex);
            return known ? ResultCode.KEY_ALREADY_GRANTED : ResultCode.OK;
        }
        if (change instanceof WithdrawKey withdrawal) {
            final boolean known =
                    activeKeys.containsKey(withdrawal.key())
                            || withdrawnKeys.contains(withdrawal.key());
            return known ? ResultCode.OK : ResultCode.UNKNOWN_KEY;
        }
        if (change instanceof UndrainBackendServer undrain) {
            return drained.contains(undrain.name())
                    ? ResultCode.OK
                    : ResultCode.UNKNOWN_BACKEND_SERVER;
        }
        return ResultCode.OK;
    }

    private ResultCode expectedPublicationCode(PublishServices publication) {
        final Map<String, PublishServices> next = new HashMap<>(published);
        next.put(publication.publisher(), publication);
        for (final PublishServices other : next.values()) {
            if (!other.publisher().equals(publication.publisher())
                    && haveCommonName(other, publication)) {
                return ResultCode.CHANGE_CONFLICT;
            }
        }
        final Set<String> services =
                next.values().stream()
                        .flatMap(each -> each.services().stream())
                        .map(Service::name)
                        .collect(Collectors.toSet());
        final Set<String> organisations = names(next);
        for (final PublishServices each : next.values()) {
            for (final Adapter adapter : each.adapters()) {
                if (!services.contains(adapter.service())
                        || !organisations.containsAll(adapter.organisations())) {
                    return ResultCode.CHANGE_INVALID;
                }
            }
        }
        return organisations.containsAll(activeKeys.values())
                ? ResultCode.OK
                : ResultCode.CHANGE_CONFLICT;
    }

    private static boolean haveCommonName(PublishServices first, PublishServices second) {
        final Set<String> names = new HashSet<>();
        first.services().forEach(service -> names.add("service " + service.name()));
        first.organisations().forEach(organisation -> names.add("org " + organisation.name()));
        first.adapters().forEach(adapter -> names.add("adapter " + adapter.name()));
        return second.services().stream().anyMatch(each -> names.contains("service " + each.name()))
                || second.organisations().stream()
                        .anyMatch(each -> names.contains("org " + each.name()))
                || second.adapters().stream()
                        .anyMatch(each -> names.contains("adapter " + each.name()));
    }

    private static Set<String> names(Map<String, PublishServices> publications) {
        return publications.values().stream()
                .flatMap(each -> each.organisations().stream())
                .map(Organisation::name)
                .collect(Collectors.toSet());
    }

    private void accept(Change change) {
        if (change instanceof PublishServices publication) {
            published.put(publication.publisher(), publication);
        } else if (change instanceof GrantKey grant) {
            activeKeys.put(grant.hash().hex(), grant.organisation());
        } else if (change instanceof WithdrawKey withdrawal) {
            activeKeys.remove(withdrawal.key());
            withdrawnKeys.add(withdrawal.key());
        } else if (change instanceof DrainBackendServer drain) {
            drained.add(drain.name());
        } else if (change instanceof UndrainBackendServer undrain) {
            drained.remove(undrain.name());
        }
    }

    /** The expected result code and revision of an answer. */
    record Answer(ResultCode code, long revision) {}
}
