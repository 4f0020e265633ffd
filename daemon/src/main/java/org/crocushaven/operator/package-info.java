/**
 * The HTTP interface for operators and the platform.
 *
 * <p>Translates requests into calls of {@link org.crocushaven.operator.ControlPlane} and {@link
 * org.crocushaven.operator.Explanations}; does not depend on their implementations. Every request
 * but those of the platform, for its probes and the metrics, needs the operator key.
 */
package org.crocushaven.operator;
