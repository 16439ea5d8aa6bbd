package flintlead.platform;

import flintlead.platform.upstream.ConnectionPool;
import flintlead.platform.upstream.ConnectionPools;
import flintlead.platform.upstream.HostProtocol;
import flintlead.platform.upstream.Request;
import flintlead.platform.upstream.ResponseFields;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import io.netty.buffer.ByteBuf;

/**
 * Operations on hosts that are not part of an invocation: loading and unloading a function, and
 * probes. Used on the event loop only.
 */
final class HostOperations {

  private static final int TAG_RADIX = 36;

  private final EventExecutor loop;
  private final ConnectionPools pools;
  private final Span loadTimeout;
  private final Span probeTimeout;

  /** Number of operations so far; makes their tags unique. */
  private long operations;

  HostOperations(EventExecutor loop, ConnectionPools pools, Span loadTimeout, Span probeTimeout) {
    this.loop = loop;
    this.pools = pools;
    this.loadTimeout = loadTimeout;
    this.probeTimeout = probeTimeout;
  }

  /**
   * Receives the outcome of an operation. Never called within the call that started the operation.
   */
  interface Completion {

    /**
     * The operation has ended.
     *
     * @param fields fields of the response; {@link ResponseFields#NONE} if there is no response
     */
    void completed(Outcome outcome, Span elapsed, ResponseFields fields);
  }

  /** Asks the host to keep at least {@code instances} instances of a function loaded. */
  void load(long host, long function, int instances, Completion completion) {
    ConnectionPool pool = pools.get(host);
    if (pool == null) {
      failLater(completion);
    } else {
      run(pool, new Load(nextTag(), function, instances, completion, loop.now()), loadTimeout);
    }
  }

  /** Requests the host's load report. */
  void probe(long host, Completion completion) {
    ConnectionPool pool = pools.get(host);
    if (pool == null) {
      failLater(completion);
    } else {
      run(pool, new Probe(nextTag(), completion, loop.now()), probeTimeout);
    }
  }

  /** Allows the host to unload the function. Has no effect if the command cannot be sent now. */
  void unload(long host, long function) {
    ConnectionPool pool = pools.get(host);
    if (pool != null) {
      pool.sendCommand(HostProtocol.unloadCommand(function));
    }
  }

  /** Closes the connections to the host that have no request in flight. */
  void closeIdleConnections(long host) {
    ConnectionPool pool = pools.get(host);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  private String nextTag() {
    return "g" + Long.toString(operations++, TAG_RADIX);
  }

  /** Reports, in a separate event, that the host is not listed. */
  private void failLater(Completion completion) {
    loop.scheduleAt(
        loop.now(),
        () -> completion.completed(Outcome.CONNECT_FAILED, Span.ZERO, ResponseFields.NONE));
  }

  private void run(ConnectionPool pool, Operation operation, Span timeout) {
    loop.scheduleAt(loop.now().plus(timeout), () -> timeOut(pool, operation));
    pool.submit(operation);
  }

  private static void timeOut(ConnectionPool pool, Operation operation) {
    if (!operation.isOver()) {
      pool.withdraw(operation);
      operation.complete(Outcome.TIMEOUT, ResponseFields.NONE);
    }
  }

  /** One operation at a host. */
  private abstract class Operation extends Request {
    private final Completion completion;
    private final Moment startedAt;

    Operation(String tag, Completion completion, Moment startedAt) {
      super(tag, null);
      this.completion = completion;
      this.startedAt = startedAt;
    }

    final void complete(Outcome outcome, ResponseFields fields) {
      completion.completed(outcome, loop.now().since(startedAt), fields);
    }

    @Override
    protected void ended(Outcome outcome, ResponseFields fields, ByteBuf body) {
      complete(outcome, fields);
    }

    @Override
    protected boolean isCancellable() {
      return false;
    }
  }

  private final class Load extends Operation {
    private final long function;
    private final int instances;

    Load(String tag, long function, int instances, Completion completion, Moment startedAt) {
      super(tag, completion, startedAt);
      this.function = function;
      this.instances = instances;
    }

    /** An order for 0 instances makes the host load nothing; it only queries the host. */
    @Override
    protected boolean isNewWork() {
      return instances > 0;
    }

    @Override
    protected void write(ByteBuf out) {
      HostProtocol.writeProvision(out, tag(), function, instances);
    }
  }

  private final class Probe extends Operation {

    Probe(String tag, Completion completion, Moment startedAt) {
      super(tag, completion, startedAt);
    }

    @Override
    protected void write(ByteBuf out) {
      HostProtocol.writeLoadProbe(out, tag());
    }
  }
}
