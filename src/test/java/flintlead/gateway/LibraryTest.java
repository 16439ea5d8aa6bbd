package flintlead.gateway;

import flintlead.client.Reply;
import flintlead.time.Span;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;

/** The contract by way of {@link Flintlead#invoke}. */
class LibraryTest extends GatewayContract {

    private final Map<CompletableFuture<Reply>, CompletableFuture<Answer>> asked = new ConcurrentHashMap<>();
    private Flintlead gateway;

    @Override
    protected void open(Flintlead started) {
        gateway = started;
    }

    @Override
    protected CompletableFuture<Reply> invoke(Ask ask) {
        CompletableFuture<Answer> answer = gateway.invoke(ask);
        CompletableFuture<Reply> reply = answer.handle((got, trouble) -> {
            if (trouble != null) {
                Throwable cause = trouble instanceof CompletionException ? trouble.getCause() : trouble;
                return new Reply(Reply.Kind.REFUSED, null, null, 0, Span.ZERO, false, 0, cause.getMessage());
            }
            return new Reply(Reply.Kind.valueOf(got.kind().name()), got.payload(), got.host(), got.dispatches(),
                got.retryIn(), got.mayHaveRun(), 0, got.why());
        });
        asked.put(reply, answer);
        return reply;
    }

    @Override
    protected void hangUp(CompletableFuture<Reply> answer) {
        asked.get(answer).cancel(false);
    }

    @Override
    protected void closeFront() {
        // There is none.
    }
}
