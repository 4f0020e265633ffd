package org.crocushaven.protocol;

/** Receives the greetings with which other instances begin their connections. */
@FunctionalInterface
interface PeerObserver {
    /** Records that the named instance opened a connection. */
    void greeted(String instance, long incarnation);
}
