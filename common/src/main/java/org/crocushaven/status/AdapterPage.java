package org.crocushaven.status;

import java.util.List;

/**
 * The adapters that match a query, up to its limit.
 *
 * @param total number of adapters that match
 * @param adapters the first matching adapters, in the order of their names
 */
public record AdapterPage(int total, List<AdapterStatus> adapters) {
    public AdapterPage {
        adapters = List.copyOf(adapters);
    }
}
