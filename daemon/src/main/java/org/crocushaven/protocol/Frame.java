package org.crocushaven.protocol;

/**
 * Represents one frame of the protocol between instances.
 *
 * @param kind whether the frame is a one-way message, a request or an answer
 * @param correlation number that matches an answer to its request; 0 for one-way frames
 * @param message the decoded message
 */
record Frame(FrameKind kind, long correlation, Message message) {}
