package flintlead.gateway.downstream;

import flintlead.transport.jsonrpc.Message;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.RpcException;

/** One element of a batch, read or not. */
sealed interface BatchElement {

  /** An element that is a JSON-RPC message. */
  record Readable(Message message) implements BatchElement {}

  /** An element that is none, and the error that answers it. */
  record Malformed(RpcException error) implements BatchElement {}

  /** Reads an element's JSON text. */
  static BatchElement read(MessageReader reader, byte[] json) {
    try {
      return new Readable(reader.read(json));
    } catch (RpcException e) {
      return new Malformed(e);
    }
  }
}
