package flintlead.transport.loop;

import java.io.IOException;
import java.util.function.BiConsumer;

/**
 * Sends and receives single messages that may be lost, duplicated or reordered. Received messages
 * are delivered on the event loop that this belongs to.
 */
public interface DatagramTransport {

  /**
   * Receives messages at the address until the socket is closed. Waits for the port, so it must not
   * be called from the event loop itself.
   *
   * @param at the address to bind; port 0 asks for any free port
   * @param receiver of each message with its sender's address, called on the event loop
   * @throws IOException when the address can't be bound, with the address in the message
   */
  DatagramSocket bind(Address.Udp at, BiConsumer<Address.Udp, byte[]> receiver) throws IOException;

  /** A bound socket that datagrams are sent from and received at. */
  interface DatagramSocket {

    /** The bound address, with the port that was chosen where port 0 was asked for. */
    Address.Udp address();

    /** Sends a message; a loss is not reported. On the event loop only. */
    void send(Address.Udp to, byte[] message);

    /** Stops receiving and frees the port. */
    void close();
  }
}
