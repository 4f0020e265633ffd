/**
 * A small HTTP/1.1 server for stand-ins, built on Netty.
 *
 * <p>Independent of what the stand-ins serve.
 */
package org.crocushaven.bench.http;
