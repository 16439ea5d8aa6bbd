package flintlead.testing.emulator;

import flintlead.time.Moment;
import flintlead.transport.jsonrpc.JsonMembers;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.RpcException;
import flintlead.transport.loop.EventExecutor;
import java.util.Random;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.statistics.distribution.ContinuousDistribution;
import org.apache.commons.statistics.distribution.GammaDistribution;

/**
 * Records each invocation that reaches a host, with its work, and notices when a cold host
 * collapses under it.
 */
final class ArrivalRecorder {

  /** Shape of the gamma distribution of work about its mean. */
  private static final double WORK_SHAPE = 4;

  private final String host;
  private final EventExecutor loop;
  private final HostModel model;
  private final ProcessState process;
  private final ExecutionLog log;
  private final MessageReader reader;
  private final OverloadDetector overload;

  /** Draws the work of invocations that name none. */
  private final ContinuousDistribution.Sampler work;

  private final Runnable collapse;

  /**
   * @param collapse run when a cold host has collapsed
   */
  ArrivalRecorder(
      String host,
      EventExecutor loop,
      HostModel model,
      ProcessState process,
      ExecutionLog log,
      MessageReader reader,
      Random random,
      OverloadDetector overload,
      Runnable collapse) {
    this.host = host;
    this.loop = loop;
    this.model = model;
    this.process = process;
    this.log = log;
    this.reader = reader;
    this.overload = overload;
    this.collapse = collapse;
    UniformRandomProvider source = random::nextLong;
    this.work =
        GammaDistribution.of(WORK_SHAPE, model.defaultWorkMs() / WORK_SHAPE).createSampler(source);
  }

  ExecutionLog.Arrival arrived(
      String gateway, JsonMembers params, byte[] payload, Moment receivedAt) {
    double workMs = workMs(payload);
    ExecutionLog.Arrival arrival =
        new ExecutionLog.Arrival(
            host,
            process.incarnation(),
            gateway,
            params.string("token"),
            params.string("function"),
            params.string("triggerType"),
            receivedAt,
            workMs);
    log.arrived(arrival);
    double capacity = process.capacity(loop.now(), model);
    if (overload.arrived(arrival, capacity) && capacity < 1) {
      log.collapses.add(new ExecutionLog.Collapse(host, loop.now()));
      collapse.run();
    }
    return arrival;
  }

  /**
   * The work that the payload names, else drawn; drawn in either case, so that the draws don't
   * depend on payloads.
   */
  private double workMs(byte[] payload) {
    double drawnMs = work.sample();
    if (payload != null && payload.length > 1 && payload[0] == '{') {
      try {
        return reader.readObject(payload).number("workMs", drawnMs);
      } catch (RpcException e) {
        // A payload that names no work gets the drawn one.
      }
    }
    return drawnMs;
  }
}
