package flintlead.testing.scenario;

import flintlead.client.ClientResponse;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;

/** One attempt of a client, as the client saw it. On the client loop. */
public final class ClientAttempt {

  /**
   * A response.
   *
   * @param at when it was received
   */
  public record ReceivedResponse(ClientResponse.Status kind, boolean mayHaveRun, Moment at) {}

  /** Where it was sent. */
  public final String gateway;

  /** Of the invocation. */
  public final String triggerType;

  /** The invocation's idempotency key. */
  public final String token;

  /** When it was sent. */
  public final Moment sentAt;

  /** The client's timeout for this attempt. */
  public final Span timeout;

  /** When the invocation's first attempt was sent. */
  public final Moment firstSentAt;

  /** One, unless something is wrong. */
  public final List<ReceivedResponse> responses = new ArrayList<>(1);

  /** No response is owed, as the client left or its gateway was killed. */
  public boolean exempt;

  /** An attempt without a response. */
  public ClientAttempt(
      String gateway, String triggerType, String token, Moment at, Span timeout, Moment firstAt) {
    this.gateway = gateway;
    this.triggerType = triggerType;
    this.token = token;
    this.sentAt = at;
    this.timeout = timeout;
    this.firstSentAt = firstAt;
  }
}
