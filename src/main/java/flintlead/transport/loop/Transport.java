package flintlead.transport.loop;

import java.io.IOException;
import java.util.function.Function;

/** Opens byte streams; every listener is called on the event loop that the transport belongs to. */
public interface Transport {

  /**
   * Begins to connect. The listener's {@code opened} or {@code closed} follows, never within this
   * call.
   */
  Stream connect(Address to, StreamListener listener);

  /**
   * Accepts streams at the address until the socket is closed. Waits for the port, so it must not
   * be called from the event loop itself.
   *
   * @param at the address to bind; TCP port 0 asks for any free port
   * @param acceptor gives each accepted stream its listener, on the event loop
   * @throws IOException when the address can't be bound, with the address in the message
   */
  ListeningSocket listen(Address at, Function<Stream, StreamListener> acceptor) throws IOException;

  /** A bound socket that streams are accepted at. */
  interface ListeningSocket {

    /** The bound address, with the port that was chosen where port 0 was asked for. */
    Address address();

    /** Stops accepting and frees the address; accepted streams stay open. */
    void close();
  }
}
