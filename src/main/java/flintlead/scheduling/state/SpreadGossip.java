package flintlead.scheduling.state;

import flintlead.time.Span;
import java.util.LinkedHashSet;
import java.util.Set;

/** Sends changed replica targets to random peers, several functions per message. */
public final class SpreadGossip {

  private final SchedulerState state;
  private final Set<FunctionState> changed = new LinkedHashSet<>();

  /** Creates the gossip sender of one gateway. */
  public SpreadGossip(SchedulerState state) {
    this.state = state;
  }

  /**
   * Schedules a message if the replica target of the function has changed enough since it was last
   * sent.
   *
   * @param factor minimum ratio of a change, up or down, for a target to be sent
   * @param delay how long further changes are collected before sending
   * @param fanout number of times that a message is sent, each to a random peer
   */
  public void scheduleIfChanged(FunctionState function, double factor, Span delay, int fanout) {
    double change = function.replicaTarget / function.gossipedReplicaTarget;
    if (state.deployment.supportsPeers()
        && state.gateways > 1
        && (change >= factor || change <= 1 / factor)
        && changed.add(function)
        && changed.size() == 1) {
      state.context.schedule(state.now().plus(delay), () -> send(fanout));
    }
  }

  private void send(int fanout) {
    changed.forEach(function -> function.gossipedReplicaTarget = function.replicaTarget);
    for (int i = 0; i < fanout; i++) {
      int offset = 1 + state.random.nextInt(state.gateways - 1);
      int peer = (state.deployment.index() + offset) % state.gateways;
      state.context.sendGossip(peer, SpreadGossipCodec.encode(changed));
    }
    changed.clear();
  }
}
