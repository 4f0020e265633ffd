package org.crocushaven.cli;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import org.approvaltests.Approvals;
import org.crocushaven.operator.FakeControlPlane;
import org.crocushaven.operator.OperatorServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Compares the output of complete command-line sessions with the approved output. */
class GoldenSessionTest {
    private static final String INPUTS = "src/test/resources/";

    private final FakeControlPlane controlPlane = new FakeControlPlane();
    private MultiThreadIoEventLoopGroup group;
    private OperatorServer server;

    @BeforeEach
    void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server =
                OperatorServer.start(
                        group, new InetSocketAddress("127.0.0.1", 0), controlPlane.environment());
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully();
    }

    private Session session(String operatorKey) {
        return new Session(
                Map.of(
                        "CROCUSHAVEN_ADDRESS",
                        "127.0.0.1:" + server.address().getPort(),
                        "CROCUSHAVEN_OPERATOR_KEY",
                        operatorKey));
    }

    private Session session() {
        return session("operator-key");
    }

    private void verify(Session session) {
        verify(session, "no other address");
    }

    private void verify(Session session, String otherAddress) {
        Approvals.verify(
                session.recorded()
                        .replace(otherAddress, "OTHER")
                        .replace(":" + server.address().getPort(), ":PORT")
                        .replace(INPUTS, ""));
    }

    @Nested
    class Publishing {
        @Test
        void isShownByTheListingCommands() {
            verify(
                    session()
                            .run("validate " + INPUTS + "services")
                            .run("publish " + INPUTS + "services --operator anna --number 1")
                            .run("services")
                            .run("organisations")
                            .run("adapters --prefix plot-")
                            .run("adapters --service chat --limit 1 --output json")
                            .run("status")
                            .run("backends")
                            .run("backends --output json"));
        }

        @Test
        void reportsEveryFaultAndSendsNothing() {
            verify(
                    session()
                            .run("validate " + INPUTS + "faulty")
                            .run("publish " + INPUTS + "faulty")
                            .run("publish " + INPUTS + "nowhere --output json")
                            .run("status --output json"));
        }
    }

    @Nested
    class RepeatedChangeNumbers {
        @Test
        void returnTheFirstAnswerOrAreRefused() {
            final Session session =
                    session()
                            .run("publish " + INPUTS + "services --operator anna --number 1")
                            .remark("the answer was lost, anna sends again")
                            .run("publish " + INPUTS + "services --operator anna --number 1")
                            .remark("a colleague uses the same name and number")
                            .run("publish " + INPUTS + "changed --operator anna --number 1")
                            .run("publish " + INPUTS + "changed --operator bo --number 1");
            controlPlane.loseNextAnswer();
            verify(
                    session.remark("the instance loses the answer")
                            .run("drain backend e1 --operator anna --number 2")
                            .run("drain backend e1 --operator anna --number 2"));
        }
    }

    @Nested
    class LostConnections {
        @Test
        void doNotApplyChangesTwice() throws IOException {
            try (ClosingServer closing = ClosingServer.start()) {
                final String real = "127.0.0.1:" + server.address().getPort();
                final String both = closing.address() + "," + real;
                final String publish = "publish " + INPUTS + "services --operator anna --number 1";
                final Session session =
                        session()
                                .remark("the first address closes the connection without an answer")
                                .run(publish + " --address " + closing.address())
                                .run(publish + " --address " + both)
                                .run(publish);
                verify(session, closing.address());
            }
        }
    }

    @Nested
    class Keys {
        @Test
        void areGrantedShownByIdentifierAndWithdrawn() {
            verify(
                    session()
                            .run("keys grant desk")
                            .run("publish " + INPUTS + "services --operator anna --number 1")
                            .run("keys grant desk --label counter --operator anna --number 2")
                            .run("keys list")
                            .run("keys withdraw 00000000 --operator anna --number 3")
                            .run("keys withdraw b5b15597 --operator anna --number 4")
                            .run("keys withdraw --operator anna --number 5")
                            .run("keys rotate desk")
                            .run("keys list --output json"));
        }

        @Test
        void areShownWhenTheAnswerIsLost() {
            final Session session =
                    session().run("publish " + INPUTS + "services --operator anna --number 1");
            controlPlane.loseNextAnswer();
            verify(session.run("keys grant desk --operator anna --number 2"));
        }
    }

    @Nested
    class Fleet {
        @Test
        void isListedAndChangedByCommands() {
            verify(
                    session()
                            .run("voters")
                            .run("voters add a1")
                            .run("voters remove x9")
                            .run("voters promote a1")
                            .run("drain backend e9")
                            .run("drain backend e1 --operator anna --number 1")
                            .run("backends")
                            .run("drain backend e1 --undo --operator anna --number 2")
                            .run("drain backend e1 --undo --operator anna --number 3")
                            .run("drain instance a1")
                            .run("explain a1-7")
                            .run("explain a1-8")
                            .run("explain a1-7 --output json"));
        }
    }

    @Nested
    class CommandLines {
        @Test
        void printHelpWhenAsked() {
            verify(session().run("help").run("publish --help").run("keys --help"));
        }

        @Test
        void areRefusedWithTheCodeOfTheFault() {
            verify(
                    session("wrong-key")
                            .run("status")
                            .run("status --address 127.0.0.1:1")
                            .run("status --address localhost:7001")
                            .run("status now")
                            .run("status --output xml")
                            .run("status --timeout 0")
                            .run("status --color")
                            .run("statistics")
                            .run("validate")
                            .run("status --operator-key-file no-such-file"));
        }

        @Test
        void tryTheNextAddressWhenOneCannotBeReached() {
            final String addresses = "127.0.0.1:1,127.0.0.1:" + server.address().getPort();
            verify(session().run("voters --address " + addresses));
        }
    }
}
