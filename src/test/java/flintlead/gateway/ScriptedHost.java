package flintlead.gateway;

import flintlead.loop.Address;
import flintlead.loop.Stream;
import flintlead.loop.StreamListener;
import flintlead.loop.Transport;
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
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A host whose every move the test makes: what reaches it waits in a queue until the test answers. */
public final class ScriptedHost {

    private final NettyLoop loop;
    private final RpcReader reader = new RpcReader();
    public final String name;
    public volatile String says;
    public volatile String start = "1";
    public volatile long ageMs = 3_600_000;
    /** Answers every run itself with its payload. */
    public volatile boolean echoes;
    public final BlockingQueue<Got> got = new LinkedBlockingQueue<>();
    public final BlockingQueue<Long> cancels = new LinkedBlockingQueue<>();
    public final List<String> ran = new CopyOnWriteArrayList<>();
    /** The functions of what ran, in its order. */
    public final List<String> functions = new CopyOnWriteArrayList<>();
    private final List<Stream> streams = new CopyOnWriteArrayList<>();
    private Transport.Listening listening;
    private Address address;

    /** How one of its addresses behaves. */
    public enum Face { GOOD, REFUSES, HANGS, SILENT_UNREAD, SILENT_READ, SLOW, RESETS }

    /** An address of it. */
    public final class Way {
        public final Address address;
        public volatile Face face;

        Way(Address at, Face first) throws IOException {
            face = first;
            Transport.Listening here = loop.listen(at, stream -> {
                streams.add(stream);
                return new Ear(stream, this);
            });
            address = here.address();
            if (first == Face.REFUSES) {
                here.close();
            }
        }
    }

    public ScriptedHost(String name, Address at) throws IOException {
        this.name = name;
        this.says = name;
        this.address = at;
        this.loop = new NettyLoop("scripted");
        listen();
    }

    /** A host of several addresses on a loop of the test's. */
    public ScriptedHost(String name, NettyLoop loop) {
        this.name = name;
        this.says = name;
        this.loop = loop;
    }

    /** One more address. */
    public Way way(Address at, Face face) throws IOException {
        return new Way(at, face);
    }

    public void listen() throws IOException {
        listening = loop.listen(address, stream -> {
            streams.add(stream);
            return new Ear(stream, null);
        });
        address = listening.address();
    }

    public Address address() {
        return address;
    }

    /** The next run, load, unload or probe that reaches it. */
    public Got next() throws InterruptedException {
        Got next = got.poll(10, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing reached " + name);
        }
        return next;
    }

    public void notifyAll(String method) {
        loop.execute(() -> streams.forEach(stream -> stream.write(
            Frame.notification(stream.alloc().buffer(), method).end())));
    }

    /** Connections open to it. */
    public int open() {
        return streams.size();
    }

    /** Stops listening and breaks all connections. */
    public void down() {
        listening.close();
        loop.execute(() -> streams.forEach(Stream::abort));
    }

    public void close() {
        loop.close();
    }

    /** One request that has reached the host. */
    public final class Got {
        public final Stream stream;
        public final Id id;
        public final String method;
        public final Members params;

        Got(Stream stream, Id id, String method, Members params) {
            this.stream = stream;
            this.id = id;
            this.method = method;
            this.params = params;
        }

        private ByteBuf ok(Id as) {
            return Frame.result(stream.alloc().buffer(), as).raw("payload", params.raw("payload")).put("copy", "warm")
                .put("copies", 1).end();
        }

        public void answer() {
            loop.execute(() -> stream.write(ok(id)));
        }

        public void answerAs(long wrong) {
            loop.execute(() -> stream.write(ok(Id.of(wrong))));
        }

        /** The answer and the end of the connection, in one read of the gateway's. */
        public void answerAndClose() {
            loop.execute(() -> {
                stream.write(ok(id));
                stream.close();
            });
        }

        public void halfAnAnswer() {
            loop.execute(() -> {
                ByteBuf bytes = ok(id);
                stream.write(bytes.writerIndex(bytes.writerIndex() / 2));
                stream.close();
            });
        }

        public void error(int code) {
            loop.execute(() -> stream.write(Frame.error(stream.alloc().buffer(), id, code, "scripted").end()));
        }

        public void reset() {
            loop.execute(stream::abort);
        }
    }

    private final class Ear implements StreamListener, LineDecoder.Sink {
        private final Stream stream;
        private final LineDecoder decoder = new LineDecoder(8 << 20, this);

        private final Way way;

        Ear(Stream stream, Way way) {
            this.stream = stream;
            this.way = way;
        }

        private Face face() {
            return way == null ? Face.GOOD : way.face;
        }

        @Override
        public void received(ByteBuf bytes) {
            decoder.feed(bytes, stream.alloc());
        }

        @Override
        public void closed(String why) {
            streams.remove(stream);
        }

        @Override
        public void tooLong(int most) {
            throw new AssertionError("a frame over " + most);
        }

        @Override
        public void line(ByteBuf line) {
            try {
                Message message = reader.read(RpcReader.bytes(line));
                if (face() == Face.HANGS || face() == Face.SILENT_UNREAD && !message.method().equals("hello")) {
                    return;
                }
                if (face() == Face.SILENT_READ && message.method().equals("ping")) {
                    return;
                }
                switch (message.method()) {
                    case "hello" -> stream.write(Frame.result(stream.alloc().buffer(), message.id()).put("host", says)
                        .put("start", start).put("ageMs", ageMs).end());
                    case "ping" -> stream.write(Frame.result(stream.alloc().buffer(64), message.id()).end());
                    case "cancel" -> cancels.add((long) message.params().number("id"));
                    default -> {
                        Got one = new Got(stream, message.id(), message.method(), message.params());
                        if (message.method().equals("run")) {
                            ran.add(message.params().string("token"));
                            functions.add(message.params().string("function"));
                        }
                        if (face() == Face.RESETS) {
                            stream.abort();
                        } else if (face() == Face.SLOW) {
                            loop.after(Span.ofMillis(300), () -> stream.write(one.ok(one.id)));
                        } else if (face() == Face.SILENT_READ) {
                            return;
                        } else if (echoes) {
                            stream.write(one.ok(one.id));
                        } else {
                            got.add(one);
                        }
                    }
                }
            } catch (RpcException e) {
                throw new AssertionError(e);
            }
        }
    }
}
