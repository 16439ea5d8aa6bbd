package flintlead.testing.scenario;

import flintlead.transport.loop.EventLoop;

/** What a fault script can do to a simulated network; the kernel's network is out of its reach. */
public interface NetworkFaults {

  /**
   * Nothing passes from one to the other any more; what is sent meanwhile is buffered, as in a
   * kernel.
   */
  void partition(EventLoop from, EventLoop to, boolean bothWays);

  /** Ends cuts in both directions; what was buffered is sent again. */
  void heal(EventLoop one, EventLoop other);

  /**
   * The machine loses power: its connections are not closed, and nothing that is sent to it is
   * answered.
   */
  void powerOff(EventLoop place);

  /**
   * The machine has power again and no state: connections from before are reset when something
   * arrives on them.
   */
  void powerOn(EventLoop place);

  /**
   * Sets the latency between two machines in both directions.
   *
   * @param factor multiple of the usual latency; 1 for as usual
   */
  void setSlowdown(EventLoop one, EventLoop other, double factor);

  /**
   * Sets the share of messages between two machines that are lost and sent again, in both
   * directions.
   *
   * @param share 0 for none
   */
  void setLoss(EventLoop one, EventLoop other, double share);
}
