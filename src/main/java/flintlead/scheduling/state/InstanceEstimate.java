package flintlead.scheduling.state;

import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * How many instances of one function a gateway believes to be loaded at one host, and how many
 * attempts it has in flight there.
 */
public final class InstanceEstimate {

  public final Host host;

  /**
   * Instances believed to be loaded, regardless of the keep-alive time; see {@link
   * #instances(Moment, Span)}.
   */
  public int instances;

  public Moment lastUsedAt = Moment.START;

  /** Whether the estimate is a peer's observation rather than this gateway's own. */
  public boolean learnedFromPeer;

  /** This gateway's attempts in flight. */
  public int inFlight;

  /**
   * Number of attempts in flight that count as loads, as the function was not believed to be loaded
   * when they were sent.
   */
  public int loadsInFlight;

  public Moment loadingSince = Moment.START;

  InstanceEstimate(Host host) {
    this.host = host;
  }

  /**
   * Returns the number of instances believed to be loaded; zero if they were unused for longer than
   * the keep-alive time.
   */
  public int instances(Moment now, Span keepAlive) {
    if (instances > 0 && inFlight == 0 && now.since(lastUsedAt).isLongerThan(keepAlive)) {
      instances = 0;
    }
    return instances;
  }

  /** Records this gateway's own observation. */
  public void observe(int observed, Moment now) {
    instances = observed;
    lastUsedAt = now;
    learnedFromPeer = false;
  }

  /** Records a peer's observation. */
  public void learn(int observed, Moment observedAt) {
    instances = observed;
    lastUsedAt = observedAt;
    learnedFromPeer = true;
  }
}
