/**
 * Registration, health and load of backend servers, and the client that sends them requests.
 *
 * <p>Must not choose the backend server of a request.
 */
package org.crocushaven.backend;
