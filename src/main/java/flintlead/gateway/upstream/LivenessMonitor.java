package flintlead.gateway.upstream;

import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;

/**
 * Checks the connections to one host every {@link #INTERVAL} while a response or a connection is
 * awaited. Pings on silent connections, fails over from a connection that is silent while the host
 * answers on another one, and starts the next staggered dial.
 */
final class LivenessMonitor {

  private static final Span INTERVAL = Span.ofMillis(15);

  private final HostLink link;
  private final EventExecutor loop;
  private final ConnectionSet connections;
  private final Dialer dialer;
  private boolean scheduled;

  /** Whether a check follows the next poll of the sockets. */
  private boolean checksAfterPoll;

  LivenessMonitor(HostLink link, EventExecutor loop, ConnectionSet connections, Dialer dialer) {
    this.link = link;
    this.loop = loop;
    this.connections = connections;
    this.dialer = dialer;
  }

  /** Schedules the next check, unless one is scheduled or the dialer is stopped. */
  void schedule() {
    if (scheduled || dialer.isStopped()) {
      return;
    }
    scheduled = true;
    loop.scheduleAfter(
        INTERVAL,
        () -> {
          scheduled = false;
          try {
            checkNow();
          } finally {
            if (link.hasWaitingRequests() || isAwaitingHost()) {
              schedule();
            }
          }
        });
  }

  private boolean isAwaitingHost() {
    for (Connection connection : connections) {
      if (connection.isAwaitingHost()) {
        return true;
      }
    }
    return false;
  }

  /** Checks all connections now. */
  void checkNow() {
    if (dialer.isStopped()) {
      return;
    }
    if (link.hasWaitingRequests()) {
      dialer.dialNext();
      link.failQueuedIfUnreachable();
    }
    for (Connection connection : connections.snapshot()) {
      connection.checkHeartbeat(loop.now());
      if (connection.isSuspect() && link.hasOtherAddresses()) {
        replaceSuspect(connection);
      }
    }
    Connection serving = connections.best();
    if (serving != null) {
      dialer.dialBetterAddress(serving);
    }
  }

  /** Fails over if the host answers on another connection; otherwise pings there and dials. */
  private void replaceSuspect(Connection suspect) {
    link.markSuspect(suspect.address());
    for (Connection other : connections) {
      if (other != suspect && other.isReady() && !other.isSuspect()) {
        if (other.receivedAfter(suspect.silentSince())) {
          failOverIfStillSilent(suspect, other);
          return;
        }
        other.ping();
      }
    }
    dialer.dialNext();
  }

  /**
   * Fails over if nothing was received from the suspect when its socket was read after the host had
   * answered on the other connection: what a host that stood still answers may be read in any
   * order.
   */
  private void failOverIfStillSilent(Connection suspect, Connection other) {
    if (suspect.wasReadAfterAnswerOn(other)) {
      link.failOverFrom(suspect);
    } else {
      checkAfterNextPoll();
    }
  }

  private void checkAfterNextPoll() {
    if (!checksAfterPoll) {
      checksAfterPoll = true;
      loop.polls()
          .afterNextPoll(
              () -> {
                checksAfterPoll = false;
                checkNow();
              });
    }
  }
}
