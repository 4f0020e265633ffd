package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.crocushaven.fleet.Trait;
import org.crocushaven.ingress.IngressLimits;
import org.crocushaven.ingress.PromptPart;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestTraitsTest {
    private static byte[] digestOf(String body) {
        return RequestBody.of(bytes(body)).digest();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static long request(ChatRequestBuilder request, String organisation, String body) {
        return RequestTraits.of(request.build(), organisation, digestOf(body)).traits().get(0);
    }

    private static long plain(String organisation, String body) {
        return request(ChatRequestBuilder.plain(), organisation, body);
    }

    @Nested
    class WholeRequest {
        @Test
        void isTheSameForEachTry() {
            assertEquals(
                    plain("first", "body"),
                    request(
                            ChatRequestBuilder.plain()
                                    .named("another-try")
                                    .key("another-key")
                                    .takingUp(Optional.of("7"), Optional.of("request")),
                            "first",
                            "body"));
        }

        @Test
        void isAnotherForAnotherCallerOrBody() {
            assertNotEquals(plain("first", "body"), plain("second", "body"));
            assertNotEquals(plain("first", "body"), plain("first", "other"));
        }

        @Test
        void isAnotherForAnotherPath() {
            assertNotEquals(
                    plain("first", "body"),
                    request(ChatRequestBuilder.plain().target("/chat/y"), "first", "body"));
        }

        /** Guards against a caller whose parts of prompts stand for another caller's request. */
        @Test
        void cannotBeNamedAsPartOfPrompt() {
            final long whole = plain("first", "body");
            final RequestTraits claimed =
                    RequestTraits.of(
                            ChatRequestBuilder.plain()
                                    .promptParts(
                                            List.of(new PromptPart(whole, 1), new PromptPart(1, 1)))
                                    .build(),
                            "second",
                            digestOf("other"));

            assertTrue(Trait.isRequest(whole));
            assertFalse(claimed.traits().contains(whole));
            assertFalse(Trait.isRequest(claimed.traits().get(1)));
        }
    }

    @Nested
    class Parts {
        @Test
        void allButTheLastFollowTheWholeRequest() {
            final RequestTraits traits =
                    RequestTraits.of(
                            ChatRequestBuilder.of("base", "adapter")
                                    .promptParts(
                                            List.of(
                                                    new PromptPart(1, 1),
                                                    new PromptPart(66, 1),
                                                    new PromptPart(99, 1)))
                                    .build(),
                            "first",
                            digestOf("body"));

            assertEquals("base", traits.model());
            assertEquals(3, traits.traits().size());
            assertEquals(List.of(1L, 66L), traits.traits().subList(1, 3));
        }
    }

    @Nested
    class Body {
        @Test
        void thatCameInPiecesHasTheDigestOfItsBytes() {
            final RequestAssembly assembly =
                    new RequestAssembly(LimitsInForce.of(() -> IngressLimits.DEFAULT));
            assembly.begin(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));
            assembly.add(new DefaultHttpContent(bytes("bo")));
            final ReceivedRequest received =
                    assembly.add(new DefaultLastHttpContent(bytes("dy"))).orElseThrow();

            assertArrayEquals(digestOf("body"), received.body().digest());
        }

        @Test
        void thatFollowsAnotherOnTheConnectionHasItsOwnDigest() {
            final RequestAssembly assembly =
                    new RequestAssembly(LimitsInForce.of(() -> IngressLimits.DEFAULT));
            assembly.begin(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));
            assembly.add(new DefaultLastHttpContent(bytes("first")));
            assembly.begin(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));

            assertArrayEquals(
                    digestOf("second"),
                    assembly.add(new DefaultLastHttpContent(bytes("second")))
                            .orElseThrow()
                            .body()
                            .digest());
        }
    }
}
