package flintlead.transport.loop;

/** An event loop with its transports: what a gateway, a host or a client runs on. */
public interface EventLoop extends EventExecutor, Transport, DatagramTransport, AutoCloseable {

  /** Ends the loop: no further event runs on it, and its streams break. From any thread. */
  @Override
  void close();
}
