package flintlead.platform.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.routing.guard.HostSendGuard;
import flintlead.routing.guard.Invariant;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.lease.HostLeases;
import flintlead.scheduling.lease.LeaseListener;
import flintlead.scheduling.lease.LeaseTerms;
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
 * New work for a host whose lease has ended is sent only after a successful probe; otherwise it
 * outcomes, so that it can be sent to another host.
 */
class HostLeaseRenewalTest {

  private static final String ALIVE = "p0 alive - 0\r\n\r\n";

  private final VirtualTransport transport = new VirtualTransport();
  private final List<VirtualConnection> connections = transport.connections();
  private final List<String> outcomes = new ArrayList<>();
  private final List<Invariant> violations = new ArrayList<>();
  private final HostLeases leases =
      new HostLeases(new LeaseTerms(Span.ofMillis(1_000), true, 1), LeaseListener.NONE);
  private final HostSendGuard guard =
      new HostSendGuard(
          leases, new InvariantMonitor((invariant, id, detail) -> violations.add(invariant)));
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
          guard,
          NOPLogger.NOP_LOGGER);

  private ConnectionPool pool() {
    pools.update(1, "h", Address.parse("tcp:127.0.0.1:1"), new Moment(0), false);
    return pools.get(1);
  }

  private Request submit(ConnectionPool pool, String id, boolean newWork) {
    Request request =
        new Request(id, null) {
          @Override
          protected boolean isNewWork() {
            return newWork;
          }

          @Override
          protected void write(ByteBuf out) {
            out.writeCharSequence("fire " + id + " - 0\r\n\r\n", StandardCharsets.US_ASCII);
          }

          @Override
          protected void ended(Outcome outcome, ResponseFields fields, ByteBuf body) {
            outcomes.add(id + " " + outcome);
          }
        };
    pool.submit(request);
    return request;
  }

  private String written(int connection) {
    return connections.get(connection).written.toString();
  }

  @Test
  void newWorkWaitsForASuccessfulProbeAndOtherRequestsDoNot() {
    ConnectionPool pool = pool();
    submit(pool, "a", true);
    connections.get(0).open();
    assertEquals("there p0\r\n", written(0));
    submit(pool, "b", false);
    connections.get(1).open();
    assertEquals("fire b - 0\r\n\r\n", written(1));
    connections.get(0).receive(ALIVE);
    assertEquals("there p0\r\nfire a - 0\r\n\r\n", written(0));
    assertEquals(List.of(), violations);
  }

  @Test
  void waitingRequestsEndIfTheProbeIsDeniedOrUnanswered() {
    ConnectionPool pool = pool();
    submit(pool, "a", true);
    connections.get(0).open().receive("p0 dead - 0\r\n\r\n");
    submit(pool, "b", true);
    transport.run(Span.ofMillis(450));
    assertEquals(List.of("a UNPROVEN", "b UNPROVEN"), outcomes);
    submit(pool, "c", true);
    transport.run(Span.ofMillis(251));
    assertEquals(
        List.of("a UNPROVEN", "b UNPROVEN", "c UNPROVEN"),
        outcomes,
        "the probe was not answered in time");
    assertTrue(!written(0).contains("fire"));
  }

  @Test
  void aHostThatRefusesTheConnectionForAProbeIsUnreachable() {
    submit(pool(), "a", true);
    connections.get(0).breakOff("no connection: Connection refused");
    assertEquals(List.of("a CONNECT_FAILED"), outcomes);
  }

  /**
   * The lease is valid when the request is queued, but has ended when a connection takes the
   * request.
   */
  @Test
  void theLeaseIsCheckedWhenTheRequestIsWritten() {
    ConnectionPool pool = pool();
    leases.listConfirmed(transport.now().minus(Span.ofMillis(4_700)));
    submit(pool, "a", true);
    transport.run(Span.ofMillis(101));
    connections.get(0).open();
    assertEquals("there p0\r\n", written(0));
    connections.get(0).receive(ALIVE);
    assertEquals("there p0\r\nfire a - 0\r\n\r\n", written(0));
  }

  @Test
  void servedWorkRenewsTheLeaseFromWhenItWasSent() {
    ConnectionPool pool = pool();
    submit(pool, "a", true);
    connections.get(0).open().receive(ALIVE);
    transport.run(Span.ofMillis(700));
    connections.get(0).receive("a 200 - 0\r\n\r\n");
    transport.run(Span.ofMillis(99));
    submit(pool, "b", true);
    assertTrue(written(0).endsWith("fire b - 0\r\n\r\n"));
    transport.run(Span.ofMillis(2));
    submit(pool, "c", true);
    assertTrue(
        connections.size() == 1 || written(1).isEmpty(),
        "the lease that request a renewed has ended");
  }

  @Test
  void aHostThatIsFullIsProbedBeforeMoreNewWork() {
    ConnectionPool pool = pool();
    submit(pool, "a", true);
    connections.get(0).open().receive(ALIVE);
    connections.get(0).receive("a 503 - 0\r\n\r\n");
    submit(pool, "b", true);
    assertTrue(written(0).endsWith("there p1\r\n"), written(0));
  }

  /**
   * Bytes that are still unsent when the lease ends would reach the host after its grace period.
   */
  @Test
  void unsentBytesAreDiscardedOnceTheLeaseHasEnded() {
    ConnectionPool pool = pool();
    submit(pool, "a", true);
    connections.get(0).open().receive(ALIVE);
    connections.get(0).unsent = 10;
    transport.run(Span.ofMillis(799));
    assertTrue(!connections.get(0).aborted);
    transport.run(Span.ofMillis(60));
    assertTrue(connections.get(0).aborted);
  }

  @Test
  void aDrainEndsRequestsThatWaitForAProbe() {
    ConnectionPool pool = pool();
    submit(pool, "a", true);
    pools.update(1, "h", Address.parse("tcp:127.0.0.1:1"), new Moment(0), true);
    transport.run(Span.ZERO);
    assertEquals(List.of("a CONNECT_FAILED"), outcomes);
  }

  @Test
  void aWithdrawnRequestIsNotSentAfterTheProbe() {
    ConnectionPool pool = pool();
    Request request = submit(pool, "a", true);
    assertTrue(pool.withdraw(request));
    connections.get(0).open().receive(ALIVE);
    assertEquals("there p0\r\n", written(0));
    assertEquals(List.of(), outcomes);
  }

  @Test
  void newWorkSentWithoutALeaseIsReportedAsAViolation() {
    guard.checkSent(1, "a", transport.now());
    assertEquals(List.of(Invariant.LEASE_BEFORE_NEW_WORK), violations);
  }
}
