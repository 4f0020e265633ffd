/**
 * Registration, health and load of backend servers, and the clients that speak to them.
 *
 * <p>Must not choose the backend server of a request.
 */
package org.crocushaven.backend;
