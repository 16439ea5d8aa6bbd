package flintlead.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.admission.Intake;
import flintlead.client.Reply;
import flintlead.link.HostCodes;
import flintlead.link.HostSpec;
import flintlead.loop.Address;
import flintlead.port.HostEntry;
import flintlead.port.Outcome;
import flintlead.port.TriggerType.Effect;
import flintlead.port.TriggerType.Group;
import flintlead.time.Span;
import java.nio.charset.StandardCharsets;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a gateway does, whichever way its invocations come in: the library's call or the daemon's socket. */
@Timeout(60)
public abstract class GatewayContract {

    static final Terms.Footprint SMALL = new Terms.Footprint(100, 4, Span.ofMillis(100));

    protected static Terms terms(boolean loadsWhenAbsent) {
        Terms.Hosts hosts = new Terms.Hosts(4, false, loadsWhenAbsent, true, true, true, Span.ofMillis(9_000),
            Span.ofMillis(2_000), List.of());
        return new Terms("gw", 0, 1, 0, List.of(
            new Terms.Trigger("check", Span.ofMillis(900), Span.ofMillis(1_500), 3, Effect.IDEMPOTENT, Group.ALL,
                Span.ZERO, SMALL),
            new Terms.Trigger("lodge", Span.ofMillis(900), Span.ofMillis(1_500), 9, Effect.TOKENED, Group.CELL,
                Span.ofMillis(2_000), SMALL),
            new Terms.Trigger("apply", Span.ofMillis(900), Span.ofMillis(1_500), 6, Effect.NON_IDEMPOTENT, Group.ALL,
                Span.ZERO, SMALL)),
            List.of(new Terms.Customer("mill", 1_000)), Map.of(), Terms.Rules.USUAL, hosts);
    }

    private final List<ScriptedHost> hosts = new ArrayList<>();
    private Flintlead gateway;

    /** Opens the way in, after the gateway has started. */
    protected abstract void open(Flintlead started) throws Exception;

    protected abstract CompletableFuture<Reply> invoke(Ask ask);

    /** The client of this one goes away. */
    protected abstract void hangUp(CompletableFuture<Reply> answer);

    protected abstract void closeFront() throws Exception;

    private ScriptedHost host(String name) throws Exception {
        ScriptedHost host = new ScriptedHost(name, new Address.Tcp("127.0.0.2", 0));
        hosts.add(host);
        return host;
    }

    private static HostSpec spec(ScriptedHost host, int cell) {
        return HostSpec.ready(host.name, host.address()).in(0, cell);
    }

    private void start(Terms terms, HostSpec... list) throws Exception {
        start(terms, Intake.Bounds.USUAL, list);
    }

    private void start(Terms terms, Intake.Bounds bounds, HostSpec... list) throws Exception {
        gateway = Flintlead.of(terms).seed(7).bounds(bounds).start();
        gateway.hosts(List.of(list));
        open(gateway);
    }

    @AfterEach
    void end() throws Exception {
        if (gateway != null) {
            gateway.kill();
        }
        closeFront();
        hosts.forEach(ScriptedHost::close);
    }

    private static Reply of(CompletableFuture<Reply> answer) throws Exception {
        return answer.get(10, TimeUnit.SECONDS);
    }

    private static byte[] json(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void anAnswerComesBackWithItsPayload() throws Exception {
        ScriptedHost host = host("a");
        start(terms(true), spec(host, 0));
        CompletableFuture<Reply> answer = invoke(Ask.of("f", "check").customer("mill").payload(json("{\"x\":[1,2]}")));
        ScriptedHost.Got got = host.next();
        assertEquals("f", got.params.string("function"));
        assertEquals(100, got.params.number("memoryMb"));
        got.answer();
        Reply reply = of(answer);
        assertEquals(Reply.Kind.SUCCEEDED, reply.kind());
        assertArrayEquals(json("{\"x\":[1,2]}"), reply.payload());
        assertEquals("a", reply.host());
    }

    @Test
    void whatIsNotKnownIsRefusedByName() throws Exception {
        start(terms(true));
        for (Ask wrong : List.of(Ask.of("f", "chek"), Ask.of("", "check"), Ask.of("f", "check").customer("nobody"),
            Ask.of("f", "check").token(""), Ask.of("f", "check").timeout(Span.ofMillis(1e9)))) {
            Reply reply = of(invoke(wrong));
            assertEquals(Reply.Kind.REFUSED, reply.kind());
            assertTrue(reply.message().startsWith("member '"), reply.message());
        }
        assertEquals(0, gateway.counts().join().taken());
    }

    @Test
    void noHostAtAllIsThrottledInTime() throws Exception {
        start(terms(true));
        Reply reply = of(invoke(Ask.of("f", "apply")));
        assertEquals(Reply.Kind.THROTTLED, reply.kind());
        assertTrue(reply.retryIn().micros() > 0);
    }

    /** A host that says full has proved that nothing ran: even a non-idempotent one goes on to the next. */
    @Test
    void fullAtOneHostGoesToTheOther() throws Exception {
        ScriptedHost a = host("a");
        ScriptedHost b = host("b");
        start(terms(true), spec(a, 0), spec(b, 0));
        CompletableFuture<Reply> answer = invoke(Ask.of("f", "apply").token("t"));
        ScriptedHost first = waitForEither(a, b);
        first.next().error(HostCodes.FULL);
        (first == a ? b : a).next().answer();
        assertEquals(2, of(answer).dispatches());
    }

    private static ScriptedHost waitForEither(ScriptedHost a, ScriptedHost b) {
        Awaitility.await().until(() -> !a.got.isEmpty() || !b.got.isEmpty());
        return a.got.isEmpty() ? b : a;
    }

    @Test
    void aTokenedOneWhoseHostIsSilentStaysInItsGroupAndIsAnsweredInTime() throws Exception {
        ScriptedHost a = host("a");
        ScriptedHost b = host("b");
        start(terms(true), spec(a, 0), spec(b, 1));
        long begun = System.nanoTime();
        CompletableFuture<Reply> answer = invoke(Ask.of("f", "lodge").token("t"));
        Reply reply = of(answer);
        assertEquals(Reply.Kind.ERRORED, reply.kind());
        assertTrue(reply.mayHaveRun());
        assertTrue(System.nanoTime() - begun < 1_800_000_000L, "in the client's time");
        assertEquals(1, a.ran.size() + b.ran.size(), "the only other host is of another group");
    }

    @Test
    void aResetMidwayLeavesANonIdempotentOneErroredAndASecondHostUntouched() throws Exception {
        ScriptedHost a = host("a");
        ScriptedHost b = host("b");
        start(terms(true), spec(a, 0), spec(b, 0));
        CompletableFuture<Reply> answer = invoke(Ask.of("f", "apply").token("t"));
        waitForEither(a, b).next().reset();
        Reply reply = of(answer);
        assertEquals(Reply.Kind.ERRORED, reply.kind());
        assertTrue(reply.mayHaveRun());
        assertEquals(1, a.ran.size() + b.ran.size());
    }

    @Test
    void halfAnAnswerSendsAnIdempotentOneToTheOtherHost() throws Exception {
        ScriptedHost a = host("a");
        ScriptedHost b = host("b");
        start(terms(true), spec(a, 0), spec(b, 0));
        CompletableFuture<Reply> answer = invoke(Ask.of("f", "check"));
        ScriptedHost first = waitForEither(a, b);
        first.next().halfAnAnswer();
        (first == a ? b : a).next().answer();
        assertEquals(Reply.Kind.SUCCEEDED, of(answer).kind());
        assertEquals(1, gateway.counts().join().outcomes().get(Outcome.RESET));
    }

    @Test
    void anAnswerInTheSameReadAsTheCloseCounts() throws Exception {
        ScriptedHost a = host("a");
        start(terms(true), spec(a, 0));
        CompletableFuture<Reply> answer = invoke(Ask.of("f", "apply"));
        a.next().answerAndClose();
        assertEquals(Reply.Kind.SUCCEEDED, of(answer).kind());
        assertEquals(0, gateway.counts().join().outcomes().get(Outcome.RESET));
    }

    /** Nothing can have left to a host that does not listen: this one may move on though it must never run twice. */
    @Test
    void aRefusedConnectionProvesThatNothingRan() throws Exception {
        ScriptedHost a = host("a");
        ScriptedHost b = host("b");
        b.echoes = true;
        a.down();
        start(terms(true), spec(a, 0), spec(b, 0));
        for (int i = 0; i < 20; i++) {
            assertEquals(Reply.Kind.SUCCEEDED, of(invoke(Ask.of("f" + i, "apply"))).kind());
        }
        assertTrue(gateway.counts().join().outcomes().get(Outcome.CONNECT_FAILED) > 0);
    }

    @Test
    void anotherHostBehindTheAddressGetsNothing() throws Exception {
        ScriptedHost a = host("a");
        a.says = "z";
        start(terms(true), spec(a, 0));
        assertEquals(Reply.Kind.THROTTLED, of(invoke(Ask.of("f", "apply"))).kind());
        assertEquals(List.of(), a.ran);
    }

    @Test
    void anAnswerUnderAWrongNumberFitsNothing() throws Exception {
        ScriptedHost a = host("a");
        start(terms(true), spec(a, 0));
        CompletableFuture<Reply> one = invoke(Ask.of("f", "apply").payload(json("1")));
        ScriptedHost.Got first = a.next();
        CompletableFuture<Reply> two = invoke(Ask.of("g", "apply").payload(json("2")));
        ScriptedHost.Got second = a.next();
        assertNotEquals(first.id, second.id);
        first.answerAs(second.id.asNumber() + (1 << 13));
        assertEquals(Reply.Kind.ERRORED, of(one).kind());
        assertEquals(Reply.Kind.ERRORED, of(two).kind());
    }

    @Test
    void aLateAnswerFitsNoOtherInvocation() throws Exception {
        ScriptedHost a = host("a");
        start(terms(true), spec(a, 0));
        CompletableFuture<Reply> late = invoke(Ask.of("f", "apply").timeout(Span.ofMillis(150)).payload(json("1")));
        ScriptedHost.Got first = a.next();
        assertEquals(Reply.Kind.ERRORED, of(late).kind());
        assertEquals(first.id.asNumber(), a.cancels.poll(10, TimeUnit.SECONDS));
        CompletableFuture<Reply> next = invoke(Ask.of("f", "apply").payload(json("2")));
        ScriptedHost.Got second = a.next();
        first.answer();
        second.answer();
        assertArrayEquals(json("2"), of(next).payload());
    }

    @Test
    void aClientThatLeavesIsCalledBackAtTheHost() throws Exception {
        ScriptedHost a = host("a");
        start(terms(true), spec(a, 0));
        CompletableFuture<Reply> answer = invoke(Ask.of("f", "lodge"));
        ScriptedHost.Got got = a.next();
        hangUp(answer);
        assertEquals(got.id.asNumber(), a.cancels.poll(10, TimeUnit.SECONDS));
        Awaitility.await().until(() -> gateway.counts().join().flights() == 0);
        assertEquals(1, gateway.counts().join().left());
    }

    /** The departure of rule 3: from the moment of the list on, all new ones go elsewhere; what is out ends there. */
    @Test
    void aDrainWhileAThousandAreOutSendsNothingNewThere() throws Exception {
        ScriptedHost a = host("a");
        ScriptedHost b = host("b");
        a.echoes = true;
        b.echoes = true;
        start(terms(true), spec(a, 0), spec(b, 0));
        List<CompletableFuture<Reply>> answers = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            answers.add(invoke(Ask.of("f" + i % 40, "check")));
        }
        gateway.hosts(List.of(spec(a, 0).with(HostEntry.State.DRAINING), spec(b, 0)));
        gateway.counts().join();
        int before = a.ran.size();
        for (int i = 0; i < 500; i++) {
            answers.add(invoke(Ask.of("f" + i % 40, "check")));
        }
        for (CompletableFuture<Reply> answer : answers) {
            assertNotEquals(Reply.Kind.LOST, of(answer).kind());
        }
        // What left before the list was told may have reached it a moment later, and nothing that came after it.
        assertTrue(a.ran.size() - before <= 500 && b.ran.size() >= 400, a.ran.size() + " " + b.ran.size());
        int settled = a.ran.size();
        for (int i = 0; i < 50; i++) {
            of(invoke(Ask.of("g" + i, "check")));
        }
        assertEquals(settled, a.ran.size());
    }

    @Test
    void aHostThatSaysItDrainsIsBelievedAtOnce() throws Exception {
        ScriptedHost a = host("a");
        start(terms(true), spec(a, 0));
        CompletableFuture<Reply> answer = invoke(Ask.of("f", "check"));
        ScriptedHost.Got got = a.next();
        a.notifyAll("draining");
        got.answer();
        of(answer);
        assertEquals(Reply.Kind.THROTTLED, of(invoke(Ask.of("f", "check"))).kind());
    }

    @Test
    void aMissIsFollowedByAnOrderThere() throws Exception {
        ScriptedHost a = host("a");
        start(terms(false), spec(a, 0));
        CompletableFuture<Reply> answer = invoke(Ask.of("f", "apply"));
        a.next().error(HostCodes.MISS);
        ScriptedHost.Got order = a.next();
        assertEquals("load", order.method);
        assertEquals("f", order.params.string("function"));
        order.answer();
        ScriptedHost.Got again = a.next();
        assertEquals("run", again.method);
        again.answer();
        assertEquals(Reply.Kind.SUCCEEDED, of(answer).kind());
    }

    @Test
    void overTheBoundIsThrottledAtOnceAndNotTaken() throws Exception {
        ScriptedHost a = host("a");
        start(terms(true), new Intake.Bounds(4, 1_000, 100, 100, 100_000, 1_000, 10_000, Span.ofMillis(100)),
            spec(a, 0));
        List<CompletableFuture<Reply>> answers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            answers.add(invoke(Ask.of("f", "apply")));
        }
        Reply over = of(answers.get(5));
        assertEquals(Reply.Kind.THROTTLED, over.kind());
        assertTrue(over.message() == null || over.message().contains("as many invocations"), over.message());
        Reply big = of(invoke(Ask.of("g", "check").payload(json("\"" + "x".repeat(2_000) + "\""))));
        assertEquals(Reply.Kind.THROTTLED, big.kind());
        assertEquals(4, gateway.counts().join().taken());
        assertEquals(2 + 1, gateway.counts().join().turnedAway());
    }

    /** A stop in the middle: what hosts answer in the grace counts, the rest is answered at its end; one answer each. */
    @Test
    void aStopGivesEachTakenOneExactlyOneAnswer() throws Exception {
        ScriptedHost a = host("a");
        ScriptedHost b = host("b");
        start(terms(true), spec(a, 0), spec(b, 0));
        List<CompletableFuture<Reply>> answers = new ArrayList<>();
        String[] types = {"check", "lodge", "apply"};
        for (int i = 0; i < 60; i++) {
            answers.add(invoke(Ask.of("f" + i % 20, types[i % 3]).timeout(Span.ofMillis(60_000)).payload(json("" + i))));
        }
        Awaitility.await().until(() -> gateway.counts().join().taken() == 60);
        List<ScriptedHost.Got> reached = new ArrayList<>();
        a.got.drainTo(reached);
        b.got.drainTo(reached);
        CompletableFuture<Stopped> stopped = gateway.stop(Span.ofMillis(400));
        reached.subList(0, Math.min(5, reached.size())).forEach(ScriptedHost.Got::answer);
        assertEquals(Reply.Kind.THROTTLED, of(invoke(Ask.of("f", "apply"))).kind(), "nothing new while it stops");
        assertSame(stopped, gateway.stop(Span.ofMillis(60_000)), "a second stop changes nothing");
        HashSet<Reply.Kind> kinds = new HashSet<>();
        int succeeded = 0;
        for (CompletableFuture<Reply> answer : answers) {
            Reply reply = of(answer);
            kinds.add(reply.kind());
            succeeded += reply.kind() == Reply.Kind.SUCCEEDED ? 1 : 0;
        }
        assertFalse(kinds.contains(Reply.Kind.LOST), "every taken one was answered before the connections closed");
        assertEquals(Math.min(5, reached.size()), succeeded);
        Stopped how = stopped.get(10, TimeUnit.SECONDS);
        assertTrue(how.open() > 0 && how.givenUp() <= how.open());
        assertEquals(Answer.Kind.THROTTLED, gateway.invoke(Ask.of("f", "check")).get().kind(), "after the stop too");
    }

    @Test
    void aRestartedHostIsANewStart() throws Exception {
        ScriptedHost a = host("a");
        a.echoes = true;
        start(terms(true), spec(a, 0));
        of(invoke(Ask.of("f", "check")));
        a.down();
        a.start = "2";
        a.ageMs = 100;
        // A closed port is let go at the loop's next turn only, some moments after the close is told.
        Awaitility.await().ignoreException(IOException.class).until(() -> {
            a.listen();
            return true;
        });
        Awaitility.await().until(() -> of(invoke(Ask.of("f", "check"))).kind() == Reply.Kind.SUCCEEDED);
        // Cold now, it gets little: a burst that a warm host would take whole is held, and part of it throttled.
        int throttled = 0;
        List<CompletableFuture<Reply>> burst = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            burst.add(invoke(Ask.of("f", "check")));
        }
        for (CompletableFuture<Reply> each : burst) {
            throttled += of(each).kind() == Reply.Kind.THROTTLED ? 1 : 0;
        }
        assertTrue(throttled > 100, throttled + " throttled");
    }
}
