package flintlead.gateway.upstream;

import flintlead.scheduling.api.Outcome;
import flintlead.transport.jsonrpc.JsonMembers;

/**
 * How an {@link Exchange} ended.
 *
 * @param members the members of the host's result; {@link JsonMembers#DEFAULT} if the host sent no
 *     result
 * @param loadFailed whether the host reports that the request failed because an instance did not
 *     load
 * @param reason text for logs and for the client; null for {@link Outcome#OK}
 */
public record ExchangeResult(
    Outcome outcome, JsonMembers members, boolean loadFailed, String reason) {

  /** The host answered with a result. */
  public static ExchangeResult ok(JsonMembers members) {
    return new ExchangeResult(Outcome.OK, members, false, null);
  }

  /** The host answered with an error. */
  public static ExchangeResult error(Outcome outcome, boolean loadFailed, String reason) {
    return new ExchangeResult(outcome, JsonMembers.NONE, loadFailed, reason);
  }

  /** The request ended without a response from the host. */
  public static ExchangeResult unanswered(Outcome outcome, String reason) {
    return new ExchangeResult(outcome, JsonMembers.NONE, false, reason);
  }
}
