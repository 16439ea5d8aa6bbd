package flintlead.gateway.downstream;

import flintlead.transport.jsonrpc.MessageWriter;
import io.netty.buffer.ByteBuf;

/** Where one response goes: to the connection at once, or to its place in a batch. */
interface ResponseSink {

  /** The buffer that the response is to be written to; asked for once, just before writing. */
  ByteBuf buffer();

  /** The response is written; null if there is none, as for a notification. */
  void complete(MessageWriter frame);
}
