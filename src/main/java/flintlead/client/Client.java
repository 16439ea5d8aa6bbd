package flintlead.client;

import flintlead.loop.Address;
import flintlead.loop.Loop;
import flintlead.loop.Stream;
import flintlead.loop.StreamListener;
import flintlead.loop.Transport;
import flintlead.rpc.Frame;
import flintlead.rpc.LineDecoder;
import flintlead.rpc.Message;
import flintlead.rpc.RpcException;
import flintlead.rpc.RpcReader;
import flintlead.time.Span;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** One connection to a gateway's front. Lives on a loop and is used from it only; its callbacks come there too. */
public final class Client implements StreamListener, LineDecoder.Sink {

    private static final int FRAME_MOST = 8 << 20;
    private static final int THROTTLED = -32001;
    private static final int ERRORED = -32002;

    private final RpcReader reader = new RpcReader();
    private final LineDecoder decoder = new LineDecoder(FRAME_MOST, this);
    private final Map<Long, Consumer<Reply>> waiting = new HashMap<>();
    private final List<ByteBuf> early = new ArrayList<>();
    private final Runnable whenClosed;
    private Stream stream;
    private long nextId = 1;
    private boolean open;
    private boolean over;
    private long strays;

    private Client(Runnable whenClosed) {
        this.whenClosed = whenClosed;
    }

    /** Begins to connect; what is asked before the connection stands waits for it. */
    public static <L extends Loop & Transport> Client connect(L world, Address to, Runnable whenClosed) {
        Client client = new Client(whenClosed);
        client.stream = world.connect(to, client);
        return client;
    }

    /**
     * Invokes; null stands for a member left out.
     *
     * @return the id, by which it can be cancelled
     */
    public long invoke(String function, String triggerType, String customer, Span timeout, String token,
                       byte[] payload, boolean repeat, Consumer<Reply> reply) {
        long id = nextId++;
        if (over) {
            reply.accept(Reply.lost("the connection has ended"));
            return id;
        }
        waiting.put(id, reply);
        Frame frame = Frame.request(stream.alloc().buffer(256), id, "invoke").put("function", function)
            .put("triggerType", triggerType);
        if (customer != null) {
            frame.put("customer", customer);
        }
        if (timeout != null) {
            frame.put("timeoutMs", timeout.micros() / 1e3);
        }
        if (token != null) {
            frame.put("token", token);
        }
        if (repeat) {
            frame.put("repeat", true);
        }
        if (payload != null) {
            frame.raw("payload", payload);
        }
        write(frame.end());
        return id;
    }

    public void cancel(long invocation) {
        if (!over) {
            write(Frame.request(stream.alloc().buffer(128), nextId++, "cancel").put("id", invocation).end());
        }
    }

    private void write(ByteBuf bytes) {
        if (open) {
            stream.write(bytes);
        } else {
            early.add(bytes);
        }
    }

    /** Whether its bytes pile up here, so that a sender had better wait. */
    public boolean isBehind() {
        return !open || stream.unsent() > 1 << 20;
    }

    public int waiting() {
        return waiting.size();
    }

    /** Answers to nothing that was asked, or to what was answered before. */
    public long strays() {
        return strays;
    }

    public void reading(boolean on) {
        stream.reading(on);
    }

    public void close() {
        stream.close();
        closed("closed here");
    }

    @Override
    public void opened() {
        open = true;
        early.forEach(stream::write);
        early.clear();
    }

    @Override
    public void received(ByteBuf bytes) {
        decoder.feed(bytes, stream.alloc());
    }

    @Override
    public void closed(String why) {
        if (over) {
            return;
        }
        over = true;
        decoder.end();
        early.forEach(ByteBuf::release);
        early.clear();
        List<Consumer<Reply>> unanswered = new ArrayList<>(waiting.values());
        waiting.clear();
        unanswered.forEach(reply -> reply.accept(Reply.lost(why)));
        whenClosed.run();
    }

    @Override
    public void tooLong(int most) {
        strays++;
    }

    @Override
    public void line(ByteBuf line) {
        try {
            byte[] text = RpcReader.bytes(line);
            Message message = text == null ? null : reader.read(text);
            Consumer<Reply> reply = message == null ? null : waiting.remove(message.id().asNumber());
            if (reply != null) {
                reply.accept(reply(message));
            } else if (message != null && (message.isError() || !message.result().has("cancelled"))) {
                strays++;
            }
        } catch (RpcException e) {
            strays++;
        }
    }

    private static Reply reply(Message message) {
        if (!message.isError()) {
            return new Reply(Reply.Kind.SUCCEEDED, message.result().raw("payload"), message.result().string("host"),
                (int) message.result().number("dispatches", 0), Span.ZERO, true, 0, null);
        }
        Reply.Kind kind = switch (message.errorCode()) {
            case THROTTLED -> Reply.Kind.THROTTLED;
            case ERRORED -> Reply.Kind.ERRORED;
            default -> Reply.Kind.REFUSED;
        };
        return new Reply(kind, null, null, (int) message.data().number("dispatches", 0),
            Span.ofMillis(message.data().number("retryInMs", 0)), message.data().isTrue("mayHaveRun"),
            message.errorCode(), message.errorMessage());
    }
}
