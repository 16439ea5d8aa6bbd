package flintlead.daemon;

import flintlead.transport.jsonrpc.JsonMembers;
import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.jsonrpc.Message;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.jsonrpc.RpcException;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.HashSet;
import java.util.Set;

/**
 * Where an operator changes a running gateway: JSON-RPC 2.0 lines on a Unix socket that only its
 * owner may open. Lives on the gateway's loop.
 */
final class ControlSocket {

  private static final int MAX_FRAME_BYTES = 4 << 20;
  private static final int MAX_CONNECTIONS = 16;
  private static final int BUFFER_BYTES = 256;
  private static final String OWNER_ONLY = "rw-------";

  private final ConfigurationService service;
  private final MessageReader reader = new MessageReader();
  private final Set<Stream> streams = new HashSet<>();

  private ControlSocket(ConfigurationService service) {
    this.service = service;
  }

  /**
   * Opens the socket.
   *
   * @throws IOException when it can't be bound or its permissions not be set; then nothing listens
   */
  static Transport.ListeningSocket open(
      Transport transport, Address.Unix at, ConfigurationService service) throws IOException {
    ControlSocket socket = new ControlSocket(service);
    Transport.ListeningSocket listening =
        transport.listen(at, stream -> socket.new Connection(stream));
    try {
      Files.setPosixFilePermissions(at.path(), PosixFilePermissions.fromString(OWNER_ONLY));
    } catch (IOException e) {
      listening.close();
      throw e;
    }
    return listening;
  }

  /**
   * Runs a method; the result is JSON.
   *
   * @return null where there is no such method
   * @throws IllegalArgumentException with the reason why it can't be done
   */
  private byte[] run(String method, JsonMembers params) {
    return switch (method) {
      case "plan" -> service.plan(required(params, "hosts", "must be a file's text with hosts:"));
      case "apply" ->
          service.apply(
              required(params, "hosts", "must be a file's text with hosts:"),
              params.string("expects"),
              params.string("rollout"));
      case "show" -> service.show();
      case "fence" -> service.fence(required(params, "rollout", "must name one"));
      case "undo" -> service.undo();
      case "status" -> service.status();
      default -> null;
    };
  }

  private static String required(JsonMembers params, String name, String requirement) {
    String value = params.string(name);
    if (value == null) {
      throw new IllegalArgumentException("member '" + name + "' " + requirement);
    }
    return value;
  }

  /** An operator's connection. */
  private final class Connection implements StreamListener, LineDecoder.LineHandler {
    private final Stream stream;
    private final LineDecoder decoder = new LineDecoder(MAX_FRAME_BYTES, this);

    Connection(Stream stream) {
      this.stream = stream;
      if (streams.size() >= MAX_CONNECTIONS) {
        stream.close();
      } else {
        streams.add(stream);
      }
    }

    @Override
    public void received(ByteBuf bytes) {
      decoder.feed(bytes, stream.alloc());
    }

    @Override
    public void closed(String why) {
      decoder.close();
      streams.remove(stream);
    }

    @Override
    public void lineTooLong(int most) {
      writeError(
          MessageId.NULL, RpcException.INVALID_REQUEST, "a request of over " + most + " bytes");
    }

    @Override
    public void line(ByteBuf line) {
      try {
        byte[] text = MessageReader.validatedBytes(line);
        if (text != null) {
          handle(reader.read(text));
        }
      } catch (RpcException e) {
        writeError(e.id(), e.code(), e.getMessage());
      }
    }

    private void handle(Message message) {
      if (message.isResponse() || message.id() == null) {
        return;
      }
      JsonMembers params = message.params() == null ? JsonMembers.NONE : message.params();
      try {
        byte[] result = run(message.method(), params);
        if (result == null) {
          writeError(
              message.id(),
              RpcException.METHOD_NOT_FOUND,
              "there are plan, apply, undo, status, show and fence");
        } else {
          stream.write(
              MessageWriter.result(stream.alloc().buffer(BUFFER_BYTES), message.id())
                  .putJson("change", result)
                  .finishLine());
        }
      } catch (IllegalArgumentException e) {
        writeError(message.id(), RpcException.INVALID_PARAMS, e.getMessage());
      }
    }

    private void writeError(MessageId id, int code, String why) {
      stream.write(
          MessageWriter.error(
                  stream.alloc().buffer(BUFFER_BYTES), id == null ? MessageId.NULL : id, code, why)
              .finishLine());
    }
  }
}
