package flintlead.testing.emulator;

import flintlead.transport.jsonrpc.MessageId;

/** An invocation that an emulated host has accepted and not answered yet. On the host's loop. */
final class EmulatedInvocation {

  final EmulatedHostConnection connection;
  final MessageId id;
  final ExecutionLog.Arrival arrival;
  final byte[] payload;
  final FunctionInstances instances;

  /** Invocations of the function at the host when this one arrived, as reported in the response. */
  final int concurrency;

  /**
   * What the invocation met, as reported in the response: {@code warm}, {@code waited} for a load
   * or {@code began} one.
   */
  String copy = "warm";

  boolean cancelled;

  EmulatedInvocation(
      EmulatedHostConnection connection,
      MessageId id,
      ExecutionLog.Arrival arrival,
      byte[] payload,
      FunctionInstances instances) {
    this.connection = connection;
    this.id = id;
    this.arrival = arrival;
    this.payload = payload;
    this.instances = instances;
    this.concurrency = instances.concurrency();
  }
}
