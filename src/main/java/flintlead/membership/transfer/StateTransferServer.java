package flintlead.membership.transfer;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Serves pages of this gateway's own observations within limits: to a few gateways at a time, so
 * many pages a second, however many have just started; half a fleet that restarts must not turn the
 * other half into servers of observations. They are collected only when they are asked for, and at
 * most so often. A transfer has no state here: each request names its position.
 *
 * <p>Pure and not thread-safe: used on the gateway's event loop.
 */
public final class StateTransferServer {

  /**
   * The limits.
   *
   * @param maxClients gateways served at a time
   * @param clientIdleTimeout a gateway that has not asked for so long makes room for another
   * @param pagesPerSecond a second, over all gateways
   * @param cacheDuration how long collected observations are served, with their ages rising
   *     meanwhile
   */
  public record TransferLimits(
      int maxClients, Span clientIdleTimeout, double pagesPerSecond, Span cacheDuration) {

    /** What holds where nothing else is configured. */
    public static final TransferLimits DEFAULTS =
        new TransferLimits(2, Span.ofMillis(1_000), 100, Span.ofMillis(500));
  }

  private static final double MICROS_PER_SECOND = 1e6;

  private final TransferLimits limits;
  private final Supplier<List<InstanceObservation>> source;
  private final Moment startedAt;
  private final Span startupTime;

  /** When each gateway that is served has asked last. */
  private final Map<String, Moment> clients = new LinkedHashMap<>();

  /** In their order, as old as they were when they were collected. */
  private List<InstanceObservation> collected = List.of();

  private Moment collectedAt;

  /** Pages that may be served now; refilled with time. */
  private double pageTokens;

  private Moment refilledAt;
  private long pagesServed;
  private long requestsRejected;

  /**
   * @param source what this gateway has seen itself; nothing that it was told, or observations
   *     would circulate and stay young
   * @param startupTime time after the start in which it knows too little to serve others
   */
  public StateTransferServer(
      TransferLimits limits,
      Supplier<List<InstanceObservation>> source,
      Moment startedAt,
      Span startupTime) {
    this.limits = limits;
    this.source = source;
    this.startedAt = startedAt;
    this.startupTime = startupTime;
    this.refilledAt = startedAt;
    this.pageTokens = limits.pagesPerSecond();
  }

  /**
   * Handles a request.
   *
   * @param client name of the gateway that asks
   * @return the encoded response; empty for what is no request, which gets none
   */
  public Optional<byte[]> handle(String client, byte[] encodedRequest, Moment now) {
    StatePageRequest request;
    try {
      request = StatePageRequest.decode(encodedRequest);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
    return Optional.of(respond(client, request, now).encode());
  }

  private StatePage respond(String client, StatePageRequest request, Moment now) {
    if (now.since(startedAt).isShorterThan(startupTime)) {
      return StatePage.empty(request.requestId(), StatePage.Kind.STARTING);
    }
    if (!admit(client, now)) {
      requestsRejected++;
      return StatePage.empty(request.requestId(), StatePage.Kind.BUSY);
    }
    pagesServed++;
    return page(request, now);
  }

  private boolean admit(String client, Moment now) {
    double refill = now.since(refilledAt).micros() / MICROS_PER_SECOND * limits.pagesPerSecond();
    pageTokens = Math.min(limits.pagesPerSecond(), pageTokens + refill);
    refilledAt = now;
    clients
        .values()
        .removeIf(askedAt -> now.since(askedAt).isLongerThan(limits.clientIdleTimeout()));
    boolean isNew = !clients.containsKey(client);
    if (isNew && clients.size() >= limits.maxClients() || pageTokens < 1) {
      return false;
    }
    pageTokens--;
    clients.put(client, now);
    return true;
  }

  private StatePage page(StatePageRequest request, Moment now) {
    Span sinceCollected = collect(now);
    int first = request.position().firstIndexIn(collected);
    List<InstanceObservation> page = new ArrayList<>();
    for (InstanceObservation observation : collected.subList(first, collected.size())) {
      boolean requested = (observation.function() & 1) == request.partition();
      if (!requested || observation.age().plus(sinceCollected).isLongerThan(StatePage.MAX_AGE)) {
        continue;
      }
      if (page.size() == StatePage.MAX_OBSERVATIONS) {
        return new StatePage(request.requestId(), StatePage.Kind.MORE, page);
      }
      page.add(observation.agedBy(sinceCollected));
    }
    return new StatePage(request.requestId(), StatePage.Kind.LAST, page);
  }

  /**
   * Collects the observations anew where they are too old; returns the time since they were
   * collected.
   */
  private Span collect(Moment now) {
    if (collectedAt == null || now.since(collectedAt).isLongerThan(limits.cacheDuration())) {
      collected = new ArrayList<>(source.get());
      Collections.sort(collected);
      collectedAt = now;
    }
    return now.since(collectedAt);
  }

  /** Pages served so far. */
  public long pagesServed() {
    return pagesServed;
  }

  /** Requests rejected by the limits so far. */
  public long requestsRejected() {
    return requestsRejected;
  }
}
