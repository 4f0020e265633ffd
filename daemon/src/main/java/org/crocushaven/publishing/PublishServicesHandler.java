package org.crocushaven.publishing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.KeyGrant;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.PublicationProblems;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.ReferenceProblems;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Replaces the publication of one publisher and rebuilds the union of all publications. */
final class PublishServicesHandler implements ChangeHandler<PublishServices> {
    private static final int MAXIMUM_SHOWN_PROBLEMS = 5;

    @Override
    public ConfigurationState apply(ConfigurationState state, PublishServices change) {
        refuseProblems(PublicationProblems.of(change));
        final Map<String, PublishServices> publications = new HashMap<>(state.publications());
        publications.put(change.publisher(), change);

        final FleetConfiguration current = state.configuration();
        final PublicationUnion union =
                PublicationUnion.of(publications.values(), current.revision());
        refuseProblems(
                ReferenceProblems.of(union.services(), union.organisations(), union.adapters()));
        refuseRemovalOfOrganisationWithKeys(current, union.organisations());
        return new ConfigurationState(
                current.withPublished(union.services(), union.organisations(), union.adapters()),
                publications);
    }

    private static void refuseProblems(List<String> problems) {
        if (problems.isEmpty()) {
            return;
        }
        final int hidden = problems.size() - MAXIMUM_SHOWN_PROBLEMS;
        final String shown =
                String.join(
                        "; ",
                        problems.subList(0, Math.min(MAXIMUM_SHOWN_PROBLEMS, problems.size())));
        throw ResultException.of(
                ResultCode.CHANGE_INVALID,
                hidden > 0 ? shown + "; and " + hidden + " more" : shown);
    }

    /** Refuses to remove an organisation that has a key that is not withdrawn. */
    private static void refuseRemovalOfOrganisationWithKeys(
            FleetConfiguration current, Map<String, Organisation> organisations) {
        final Optional<String> removed =
                current.keys().values().stream()
                        .filter(grant -> !grant.withdrawn())
                        .map(KeyGrant::organisation)
                        .filter(organisation -> !organisations.containsKey(organisation))
                        .sorted()
                        .findFirst();
        if (removed.isPresent()) {
            throw ResultException.of(
                    ResultCode.CHANGE_CONFLICT,
                    current.revision(),
                    "the organisation " + removed.get() + " still has keys that work");
        }
    }
}
