package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.crocushaven.protocol.Message;

/**
 * The leader's answer to a {@link StreamOriginQuery}.
 *
 * @param origin where the stream began; empty if that cannot be known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamOriginAnswer(Optional<StreamOrigin> origin) implements Message {}
