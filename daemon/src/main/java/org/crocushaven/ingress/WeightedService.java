package org.crocushaven.ingress;

/**
 * One target of a route.
 *
 * @param service name of the service
 * @param weight its part of the route's requests, against the sum of all weights
 */
public record WeightedService(String service, double weight) {}
