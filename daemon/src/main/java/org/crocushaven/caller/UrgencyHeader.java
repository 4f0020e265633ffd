package org.crocushaven.caller;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the RFC 9218 urgency; invalid values are ignored, as the RFC specifies. */
final class UrgencyHeader {
    static final int DEFAULT_URGENCY = 3;

    private static final Pattern URGENCY =
            Pattern.compile("(?:^|,)\\s*u\\s*=\\s*([0-7])\\s*(?:$|[,;])");

    private UrgencyHeader() {}

    /** Returns the urgency in the header's value, or the default if it is null or invalid. */
    static int parse(String value) {
        if (value == null) {
            return DEFAULT_URGENCY;
        }
        final Matcher matcher = URGENCY.matcher(value);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : DEFAULT_URGENCY;
    }
}
