package org.crocushaven.caller;

import java.util.List;
import java.util.Optional;
import org.crocushaven.configuration.KeyHash;

/** Lists the models that a caller may use. */
@FunctionalInterface
public interface ModelCatalogue {
    /**
     * Returns the names of base models and the {@code adapter@version} names that the key may use.
     *
     * @throws org.crocushaven.result.ResultException if the key is refused
     */
    List<String> models(Optional<KeyHash> key);
}
