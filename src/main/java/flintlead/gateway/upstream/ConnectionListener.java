package flintlead.gateway.upstream;

import flintlead.scheduling.api.Outcome;
import flintlead.time.Span;
import flintlead.transport.dial.AddressSelector.FailureKind;
import java.util.List;

/** What a {@link Connection} reports to its link, on the gateway's event loop. */
interface ConnectionListener {

  /** The host's name, which the greeting has to confirm. */
  String hostName();

  /** Whether the start of the host's process in the greeting is the current or a newer one. */
  boolean acceptsProcess(Connection connection, String processStart);

  /** The host has greeted; its process is of that age. */
  void connectionReady(Connection connection, Span processAge);

  /** The host announced that it drains. */
  void hostDraining();

  /** The host answered something. */
  void responseReceived(Connection connection);

  /** A request that is still awaited was answered; its end follows. */
  void requestAnswered(Exchange exchange, Outcome outcome);

  /** An answer came to a request that had been given up. */
  void lateResponse();

  /** The connection may take requests again. */
  void connectionWritable();

  /** The connection was closed from this side, after its last request had ended. */
  void connectionClosed(Connection connection);

  /** The connection failed; {@link #requestsLost} follows. */
  void connectionFailed(Connection connection, FailureKind kind, String reason);

  /** The requests that were out on a connection that failed. */
  void requestsLost(List<Exchange> unanswered, String reason);
}
