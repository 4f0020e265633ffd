package org.crocushaven.operator;

/**
 * The parts of the daemon that the operator server uses.
 *
 * @param instance name of the instance
 * @param operatorKeyHash SHA-256 hash of the operator key, in hexadecimal
 * @param controlPlane submits changes and operations, and returns views of the fleet
 * @param explanations finds the decisions taken for requests
 * @param probe tells whether the instance is ready
 * @param metrics source of the metrics
 */
public record OperatorEnvironment(
        String instance,
        String operatorKeyHash,
        ControlPlane controlPlane,
        Explanations explanations,
        PlatformProbe probe,
        MetricsSource metrics) {}
