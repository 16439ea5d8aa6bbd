package flintlead.platform.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.routing.guard.HostSendGuard;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.helpers.NOPLogger;

/**
 * The outcome of requests for each way in which their connection can end. Runs in virtual time,
 * without sockets.
 */
class ConnectionPoolTest {

  /** A request that has ended, with its outcome. */
  private record Ended(String tag, Outcome outcome) {}

  private final VirtualTransport transport = new VirtualTransport();
  private final List<VirtualConnection> connections = transport.connections();
  private final List<Ended> outcomes = new ArrayList<>();
  private final ConnectionPools pools =
      new ConnectionPools(
          new HostConnectionLimits(
              100,
              10,
              1_000,
              1_000,
              Span.ofMillis(250),
              Span.ofMillis(15_000),
              Span.ofMillis(1_000)),
          transport,
          transport,
          HostSendGuard.ofAuthoritativeList(new InvariantMonitor((invariant, id, detail) -> {})),
          NOPLogger.NOP_LOGGER);

  private ConnectionPool pool() {
    pools.update(1, "h", Address.parse("tcp:127.0.0.1:1"), new Moment(0), false);
    return pools.get(1);
  }

  private Request submit(ConnectionPool pool, String id) {
    return submit(pool, id, null);
  }

  private Request submit(ConnectionPool pool, String id, Request earlier) {
    Request request =
        new Request(id, earlier) {
          @Override
          protected void write(ByteBuf out) {
            out.writeCharSequence("fire " + id + " - 0\r\n\r\n", StandardCharsets.US_ASCII);
          }

          @Override
          protected void ended(Outcome outcome, ResponseFields fields, ByteBuf body) {
            outcomes.add(new Ended(id, outcome));
          }
        };
    pool.submit(request);
    return request;
  }

  @Test
  void aResetWhileConnectingShowsALiveHostAndQueuedRequestsUseTheNextConnection() {
    ConnectionPool pool = pool();
    submit(pool, "a");
    connections.get(0).open();
    connections.get(0).breakOff("Connection reset");
    connections.get(1).breakOff("no connection: Connection reset by peer");
    assertEquals(
        List.of(new Ended("a", Outcome.CONNECTION_LOST)),
        outcomes,
        "a host that resets a new connection has accepted it, so it is alive");
    submit(pool, "b");
    connections.get(2).breakOff("no connection: Connection reset by peer");
    connections.get(3).open().receive("b 200 - 0\r\n\r\n");
    assertEquals(
        List.of(new Ended("a", Outcome.CONNECTION_LOST), new Ended("b", Outcome.OK)), outcomes);
  }

  @Test
  void aHostThatRefusesAfterAConnectionBrokeIsDead() {
    submit(pool(), "a");
    connections.get(0).open().breakOff("Connection reset");
    connections.get(1).breakOff("no connection: Connection refused");
    assertEquals(List.of(new Ended("a", Outcome.RESET)), outcomes);
  }

  @Test
  void aHostThatIsSilentAfterAConnectionBrokeIsDead() {
    submit(pool(), "a");
    connections.get(0).open().breakOff("Connection reset");
    transport.run(Span.ofMillis(149));
    assertEquals(List.of(), outcomes);
    transport.run(Span.ofMillis(2));
    assertEquals(List.of(new Ended("a", Outcome.RESET)), outcomes);
  }

  @Test
  void aRequestThatWasNeverSentDidNotRun() {
    ConnectionPool pool = pool();
    submit(pool, "a");
    assertTrue(pool.withdraw(submit(pool, "b")), "the request is still queued");
    connections.get(0).breakOff("no connection: Connection refused");
    connections.get(1).breakOff("no connection: Connection refused");
    assertEquals(List.of(new Ended("a", Outcome.CONNECT_FAILED)), outcomes);
  }

  @Test
  void withdrawingQueuedRequestsDoesNotTouchThoseThatWereSent() {
    ConnectionPool pool = pool();
    Request waits = submit(pool, "a");
    pool.withdrawIfQueued(waits);
    transport.run(Span.ZERO);
    assertEquals(List.of(new Ended("a", Outcome.WITHDRAWN)), outcomes);
    connections.get(0).open();
    assertTrue(connections.get(0).written.isEmpty());
    Request left = submit(pool, "b");
    pool.withdrawIfQueued(left);
    connections.get(0).receive("b 200 - 0\r\n\r\n");
    assertEquals(List.of(new Ended("a", Outcome.WITHDRAWN), new Ended("b", Outcome.OK)), outcomes);
  }

  @Test
  void descriptorExhaustionClosesAnIdleConnectionAndPausesConnecting() {
    ConnectionPool pool = pool();
    submit(pool, "a");
    connections.get(0).open().receive("a 200 - 0\r\n\r\n");
    pools.update(2, "i", Address.parse("tcp:127.0.0.1:2"), new Moment(0), false);
    submit(pools.get(2), "b");
    connections.get(1).breakOff("no connection: Too many open files");
    assertTrue(connections.get(0).closed);
    submit(pools.get(2), "c");
    transport.run(Span.ZERO);
    assertEquals(2, connections.size());
    assertEquals(
        List.of(
            new Ended("a", Outcome.OK),
            new Ended("b", Outcome.CONNECT_FAILED),
            new Ended("c", Outcome.CONNECT_FAILED)),
        outcomes);
    transport.run(Span.ofMillis(201));
    submit(pools.get(2), "d");
    assertEquals(3, connections.size());
  }

  @Test
  void aConnectionThatDoesNotOpenInTimeIsAborted() {
    submit(pool(), "a");
    transport.run(Span.ofMillis(251));
    assertTrue(connections.get(0).aborted);
    assertEquals(List.of(new Ended("a", Outcome.CONNECT_FAILED)), outcomes);
  }

  @Test
  void aMalformedResponseEndsOnlyItsConnection() {
    ConnectionPool pool = pool();
    submit(pool, "a");
    submit(pool, "b");
    connections.get(0).open();
    connections.get(1).open();
    connections.get(0).receive("a 200 - 3000000000\r\n");
    connections.get(1).receive("b 200 - 0\r\n\r\n");
    assertEquals(
        List.of(new Ended("a", Outcome.CONNECTION_LOST), new Ended("b", Outcome.OK)), outcomes);
    assertTrue(connections.get(0).aborted);
  }

  @Test
  void aDrainingHostGetsNoQueuedRequestAndNoUnsentBytes() {
    ConnectionPool pool = pool();
    submit(pool, "a");
    connections.get(0).open().unsent = 10;
    submit(pool, "b");
    pools.update(1, "h", Address.parse("tcp:127.0.0.1:1"), new Moment(0), true);
    transport.run(Span.ZERO);
    assertEquals(List.of(new Ended("b", Outcome.CONNECT_FAILED)), outcomes);
    connections.get(1).open();
    assertTrue(connections.get(1).written.isEmpty());
    transport.run(Span.ofMillis(501));
    assertTrue(connections.get(0).aborted, "aborted before the grace period is over");
    assertEquals(
        List.of(new Ended("b", Outcome.CONNECT_FAILED), new Ended("a", Outcome.RESET)), outcomes);
  }

  @Test
  void aConnectionSilentSinceAWithdrawalGetsNoNewRequest() {
    ConnectionPool pool = pool();
    Request first = submit(pool, "a");
    connections.get(0).open();
    transport.run(Span.ofMillis(1));
    pool.withdraw(first);
    submit(pool, "b");
    assertEquals(2, connections.size());
    assertTrue(connections.get(0).aborted);
  }

  @Test
  void aPartialResponseEndsItsConnectionAfterATimeout() {
    submit(pool(), "a");
    connections.get(0).open().receive("a 200 - 5\r\nab");
    transport.run(Span.ofMillis(400));
    assertEquals(List.of(new Ended("a", Outcome.CONNECTION_LOST)), outcomes);
  }

  @Test
  void connectionsAreBoundedAndIdleOnesAreClosedBeforeTheHostClosesThem() {
    ConnectionPool pool = pool();
    for (int i = 0; i < 200; i++) {
      submit(pool, "i" + i);
      if (i < connections.size()) {
        connections.get(i).open();
      }
    }
    assertTrue(connections.size() <= 32, "connections to one host");
    for (VirtualConnection connection : List.copyOf(connections)) {
      for (int i = 0; i < 200; i++) {
        connection.receive("i" + i + " 200 - 0\r\n\r\n");
      }
    }
    assertEquals(200, outcomes.size());
    transport.run(Span.ofMillis(9_200));
    assertTrue(connections.stream().allMatch(connection -> connection.closed));
    assertEquals(0, pools.connections());
  }

  /**
   * Regression: the first of two removed pools of a host was no longer maintained, so its partial
   * responses stayed in flight until the timeout of their requests.
   */
  @Test
  void bothPoolsOfAHostRemovedTwiceAreMaintained() {
    submit(pool(), "a");
    connections.get(0).open();
    pools.remove(1);
    submit(pool(), "b");
    connections.get(1).open();
    pools.remove(1);
    connections.get(0).receive("a 200 - 5\r\nab");
    transport.run(Span.ofMillis(400));
    assertEquals(List.of(new Ended("a", Outcome.CONNECTION_LOST)), outcomes);
  }

  /**
   * Regression: the check of the send buffers that the first drain had scheduled ran during the
   * second drain, before the grace period of the second drain was over.
   */
  @Test
  void aCancelledDrainDiscardsNothingAndTheNextHasItsOwnGrace() {
    submit(pool(), "a");
    connections.get(0).open().unsent = 10;
    pools.update(1, "h", Address.parse("tcp:127.0.0.1:1"), new Moment(0), true);
    transport.run(Span.ofMillis(300));
    pools.update(1, "h", Address.parse("tcp:127.0.0.1:1"), new Moment(0), false);
    transport.run(Span.ofMillis(100));
    pools.update(1, "h", Address.parse("tcp:127.0.0.1:1"), new Moment(0), true);
    transport.run(Span.ofMillis(110));
    assertEquals(List.of(), outcomes);
    transport.run(Span.ofMillis(400));
    assertEquals(List.of(new Ended("a", Outcome.RESET)), outcomes);
  }

  /**
   * Regression: when the last connection broke and no file descriptor was left for another one,
   * queued requests never ended.
   */
  @Test
  void queuedRequestsEndWhenNoConnectionCanBeOpened() {
    ConnectionPool pool = pool();
    submit(pool, "a");
    connections.get(0).open();
    pools.update(2, "i", Address.parse("tcp:127.0.0.1:2"), new Moment(0), false);
    submit(pools.get(2), "x");
    connections.get(1).breakOff("no connection: Too many open files");
    connections.get(0).breakOffWithoutEvents("Connection reset");
    submit(pool, "b");
    transport.run(Span.ofMillis(50));
    assertEquals(
        List.of(
            new Ended("x", Outcome.CONNECT_FAILED),
            new Ended("a", Outcome.RESET),
            new Ended("b", Outcome.CONNECT_FAILED)),
        outcomes,
        "queued requests end, so that they can be sent to another host");
  }

  /**
   * Regression: a duplicate of a miss response, delivered some milliseconds late, was taken for the
   * response to the next request with the same tag.
   */
  @Test
  void aTagIsNotUsedTwiceOnOneConnection() {
    ConnectionPool pool = pool();
    Request first = submit(pool, "a");
    connections.get(0).open().receive("a 404 - 0\r\n\r\n");
    submit(pool, "a", first);
    assertEquals(2, connections.size());
    connections.get(0).receive("a 404 - 0\r\n\r\n");
    connections.get(1).open().receive("a 200 - 0\r\n\r\n");
    assertEquals(List.of(new Ended("a", Outcome.MISS), new Ended("a", Outcome.OK)), outcomes);
    submit(pool, "b");
    assertEquals(2, connections.size(), "requests with other tags still use the first connection");
  }

  /**
   * After a restart under the same name, no new request is sent to the old process. Requests in
   * flight there may still finish.
   */
  @Test
  void aRestartedHostGetsNewConnections() {
    submit(pool(), "a");
    connections.get(0).open();
    pools.update(1, "h", Address.parse("tcp:127.0.0.1:1"), new Moment(5), false);
    submit(pools.get(1), "b");
    assertEquals(2, connections.size());
    connections.get(0).receive("a 200 - 0\r\n\r\n");
    connections.get(1).open().receive("b 200 - 0\r\n\r\n");
    assertEquals(List.of(new Ended("a", Outcome.OK), new Ended("b", Outcome.OK)), outcomes);
    pools.update(1, "h", Address.parse("tcp:127.0.0.1:1"), new Moment(5), false);
    submit(pools.get(1), "c");
    assertEquals(2, connections.size());
  }

  /** Hosts that never ended their responses made the gateway keep 64 KiB for each connection. */
  @Test
  void theOldestPartialResponseIsDiscardedAtTheMemoryLimit() {
    ConnectionPool pool = pool();
    submit(pool, "a");
    submit(pool, "b");
    connections.get(0).open();
    connections.get(1).open();
    String rest = "x".repeat(600);
    connections.get(0).receive("a 200 - 900\r\n" + "x".repeat(300));
    connections.get(0).receive(rest.substring(1));
    connections.get(1).receive("b 200 - 900\r\n" + "x".repeat(300));
    assertEquals(List.of(new Ended("a", Outcome.CONNECTION_LOST)), outcomes);
    connections.get(1).receive(rest + "\r\n");
    assertEquals(
        List.of(new Ended("a", Outcome.CONNECTION_LOST), new Ended("b", Outcome.OK)), outcomes);
  }
}
