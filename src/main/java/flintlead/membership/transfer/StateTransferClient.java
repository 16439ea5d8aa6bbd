package flintlead.membership.transfer;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Fetches the observations of other gateways once, after a start: from two of them at a time, a
 * half of the functions from each ({@link PartitionTransfer}). It ends when both halves are there,
 * or when the time is up. The gateway serves meanwhile, and its own observations go before those
 * that are fetched.
 *
 * <p>Pure and not thread-safe: used on the gateway's event loop.
 */
public final class StateTransferClient {

  /** What the client needs of its surroundings. */
  public interface TransferContext {

    /** Sends a request, which may be lost, to the peer of that name. */
    void sendRequest(String peer, byte[] request);

    /** Observations have come; their ages are of now. */
    void observationsReceived(String peer, List<InstanceObservation> observations);

    /** Requests a timer event at that moment, in place of the one that was requested last. */
    void scheduleTimer(Moment when);

    /** The transfer is over, with its result in words. */
    void finished(String result);
  }

  /**
   * Times and bounds of the transfer.
   *
   * @param pageTimeout for one page; doubled with each that did not come
   * @param attemptsPerPeer requests for a page to one peer
   * @param retryDelay before busy peers, or all after all were asked, are asked again; up to twice
   *     as long by chance
   * @param totalTimeout time for all of it: what comes later is worth less than what has been seen
   *     by then
   * @param maxObservations observations after which no more are asked for
   */
  public record TransferTimeouts(
      Span pageTimeout,
      int attemptsPerPeer,
      Span retryDelay,
      Span totalTimeout,
      int maxObservations) {

    /** What holds where nothing else is configured. */
    public static final TransferTimeouts DEFAULTS =
        new TransferTimeouts(
            Span.ofMillis(100), 3, Span.ofMillis(150), Span.ofMillis(10_000), 50_000);
  }

  private final TransferTimeouts timeouts;
  private final TransferContext context;
  private final PartitionTransfer first;
  private final PartitionTransfer second;
  private final List<PartitionTransfer> partitions;
  private List<String> knownPeers = List.of();

  /** When the time is up; null before the start. */
  private Moment deadline;

  private long lastRequestId;
  private int received;
  private int receivedPages;
  private int invalidPages;
  private boolean finished;

  /**
   * @param random decides which peers are asked, and spreads requests to those that were busy
   */
  public StateTransferClient(TransferTimeouts timeouts, TransferContext context, Random random) {
    this.timeouts = timeouts;
    this.context = context;
    this.first = new PartitionTransfer(0, timeouts, random);
    this.second = new PartitionTransfer(1, timeouts, random);
    this.partitions = List.of(first, second);
    this.lastRequestId = random.nextLong();
  }

  /** Starts the transfer. */
  public void start(Moment now) {
    deadline = now.plus(timeouts.totalTimeout());
    onTimer(now);
  }

  /** Replaces the names of the peers that can be asked. */
  public void updatePeers(List<String> names, Moment now) {
    knownPeers = List.copyOf(names);
    partitions.forEach(PartitionTransfer::peersChanged);
    if (isRunning()) {
      onTimer(now);
    }
  }

  private boolean isRunning() {
    return deadline != null && !finished;
  }

  /** Whether the transfer is over. */
  public boolean isFinished() {
    return finished;
  }

  /** Observations received so far. */
  public int observationCount() {
    return received;
  }

  /** Pages received so far. */
  public int pageCount() {
    return receivedPages;
  }

  /** The timer event that was requested. */
  public void onTimer(Moment now) {
    if (finished) {
      return;
    }
    if (!now.isBefore(deadline)) {
      finish("time is up after " + received + " facts");
      return;
    }
    continueTransfer(first, second, now);
    continueTransfer(second, first, now);
    if (first.isDone() && second.isDone()) {
      finish("all learnt: " + received + " facts in " + receivedPages + " pages");
      return;
    }
    context.scheduleTimer(second.nextDeadline(first.nextDeadline(deadline)));
  }

  private void continueTransfer(PartitionTransfer transfer, PartitionTransfer other, Moment now) {
    if (!transfer.isDue(now)) {
      return;
    }
    transfer
        .nextRequest(knownPeers, other.activePeer(), () -> ++lastRequestId, now)
        .ifPresent(
            request -> context.sendRequest(transfer.activePeer().orElseThrow(), request.encode()));
  }

  private void finish(String result) {
    finished = true;
    context.finished(
        result + (invalidPages > 0 ? ", " + invalidPages + " lessons were wrong" : ""));
  }

  /** A response has come. */
  public void receive(String peer, byte[] encodedPage, Moment now) {
    if (!isRunning()) {
      return;
    }
    StatePage page;
    try {
      page = StatePage.decode(encodedPage);
    } catch (IllegalArgumentException e) {
      invalidPages++;
      return;
    }
    Optional<PartitionTransfer> awaiting =
        partitions.stream().filter(transfer -> transfer.awaits(page.requestId(), peer)).findFirst();
    if (awaiting.isEmpty()) {
      // Late, repeated, or from a peer that was not asked.
      return;
    }
    switch (page.kind()) {
      case BUSY, STARTING -> awaiting.get().rejected(page.kind(), now);
      case MORE, LAST -> accept(awaiting.get(), peer, page, now);
    }
    onTimer(now);
  }

  private void accept(PartitionTransfer transfer, String peer, StatePage page, Moment now) {
    Optional<List<InstanceObservation>> observations = transfer.accept(page, now);
    if (observations.isEmpty()) {
      invalidPages++;
      return;
    }
    receivedPages++;
    received += observations.get().size();
    if (received >= timeouts.maxObservations()) {
      transfer.finish();
    }
    if (!observations.get().isEmpty()) {
      context.observationsReceived(peer, observations.get());
    }
  }
}
