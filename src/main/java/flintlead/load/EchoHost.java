package flintlead.load;

import flintlead.loop.Address;
import flintlead.loop.Stream;
import flintlead.loop.StreamListener;
import flintlead.netty.NettyLoop;
import flintlead.rpc.Frame;
import flintlead.rpc.Id;
import flintlead.rpc.LineDecoder;
import flintlead.rpc.Members;
import flintlead.rpc.Message;
import flintlead.rpc.RpcException;
import flintlead.rpc.RpcReader;
import flintlead.time.Span;
import io.netty.buffer.ByteBuf;
import java.io.IOException;

/** A host that answers at once, or after a fixed time, so that what is measured is the way to it. */
final class EchoHost {

    private static final int FRAME_MOST = 8 << 20;

    private final String name;
    private final NettyLoop loop;
    private final Span after;
    private final RpcReader reader = new RpcReader();

    EchoHost(String name, NettyLoop loop, Span after) {
        this.name = name;
        this.loop = loop;
        this.after = after;
    }

    Address listen(Address at) throws IOException {
        return loop.listen(at, Connection::new).address();
    }

    private final class Connection implements StreamListener, LineDecoder.Sink {
        private final Stream stream;
        private final LineDecoder decoder = new LineDecoder(FRAME_MOST, this);

        Connection(Stream stream) {
            this.stream = stream;
        }

        @Override
        public void received(ByteBuf bytes) {
            decoder.feed(bytes, stream.alloc());
        }

        @Override
        public void closed(String why) {
            decoder.end();
        }

        @Override
        public void tooLong(int most) {
            stream.close();
        }

        @Override
        public void line(ByteBuf line) {
            try {
                Message message = reader.read(RpcReader.bytes(line));
                Id id = message.id();
                if (id == null) {
                    return;
                }
                if (message.method().equals("hello")) {
                    stream.write(Frame.result(stream.alloc().buffer(128), id).put("host", name).put("start", name)
                        .put("ageMs", 3_600_000).end());
                    return;
                }
                if (message.method().equals("ping")) {
                    stream.write(Frame.result(stream.alloc().buffer(64), id).end());
                    return;
                }
                byte[] payload = message.params() == null ? null : message.params().raw("payload");
                if (after.micros() == 0) {
                    answer(id, payload);
                } else {
                    loop.after(after, () -> answer(id, payload));
                }
            } catch (RpcException e) {
                stream.close();
            }
        }

        private void answer(Id id, byte[] payload) {
            stream.write(Frame.result(stream.alloc().buffer(256), id).raw("payload", payload).put("copy", "warm")
                .put("crowd", 0).end());
        }
    }
}
