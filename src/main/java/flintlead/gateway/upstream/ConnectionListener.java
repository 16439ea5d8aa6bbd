package flintlead.gateway.upstream;

import flintlead.scheduling.api.Outcome;
import flintlead.time.Span;
import flintlead.transport.dial.AddressSelector.FailureKind;
import java.util.List;

/** Receives the events of a {@link Connection}, on the gateway's event loop. */
interface ConnectionListener {

  /** The host's name in the host list, which the greeting must match. */
  String hostName();

  /** Whether the process start in the greeting is the current or a new one, not a replaced one. */
  boolean acceptsProcess(Connection connection, String processStart);

  /** The greeting was accepted; the host's process has the given age. */
  void connectionReady(Connection connection, Span processAge);

  /** The host announced that it is draining. */
  void hostDraining();

  /** The host answered a greeting, a ping or a request. */
  void responseReceived(Connection connection);

  /** A request in flight was answered; the call of {@link Exchange#end} follows. */
  void requestAnswered(Exchange exchange, Outcome outcome);

  /** A response was received for a request that is no longer in flight. */
  void lateResponse();

  /** The connection may accept requests again. */
  void connectionWritable();

  /** The gateway closed the connection after its last request had ended. */
  void connectionClosed(Connection connection);

  /** The connection failed; {@link #requestsLost} follows. */
  void connectionFailed(Connection connection, FailureKind kind, String reason);

  /** The connection failed with these requests in flight; the list may be empty. */
  void requestsLost(List<Exchange> unanswered, String reason);
}
