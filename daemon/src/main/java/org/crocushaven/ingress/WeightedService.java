package org.crocushaven.ingress;

/**
 * Describes one target of a route.
 *
 * @param service name of the service
 * @param weight weight of the service, relative to the sum of all weights of the route
 */
public record WeightedService(String service, double weight) {}
