package flintlead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import flintlead.loop.Address;
import flintlead.loop.Stream;
import flintlead.loop.StreamListener;
import flintlead.netty.NettyLoop;
import flintlead.rpc.Frame;
import flintlead.rpc.LineDecoder;
import flintlead.rpc.RpcException;
import flintlead.rpc.RpcReader;
import io.netty.buffer.ByteBuf;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Asks a gateway which others it knows. */
@Command(name = "members", mixinStandardHelpOptions = true,
    description = "Asks a gateway which others it knows, whether they live, and what it learnt from them.")
final class MembersCommand implements Callable<Integer> {

    private static final int ANSWER_MOST = 4 << 20;
    private static final int WAIT_SECONDS = 5;

    @Parameters(index = "0", description = "Where its clients come in: unix:/path or tcp:127.0.0.1:PORT.")
    private String at;

    @Option(names = "--json", description = "Print the answer as it came.")
    private boolean json;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Address address;
        try {
            address = Address.parse(at);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
        }
        try (NettyLoop loop = new NettyLoop("members")) {
            CompletableFuture<byte[]> line = new CompletableFuture<>();
            loop.execute(() -> {
                Asking asking = new Asking(line);
                asking.stream = loop.connect(address, asking);
            });
            JsonNode answer = new ObjectMapper().readTree(line.get(WAIT_SECONDS, TimeUnit.SECONDS));
            JsonNode members = answer.path("result").path("members");
            if (members.isMissingNode()) {
                System.err.println(at + " keeps no company: " + answer.path("error").path("message").asText());
                return Commands.FAILED;
            }
            print(members);
            return 0;
        } catch (TimeoutException e) {
            System.err.println("no answer in time");
            return Commands.FAILED;
        } catch (ExecutionException e) {
            System.err.println(e.getCause().getMessage());
            return Commands.FAILED;
        }
    }

    private void print(JsonNode members) {
        if (json) {
            System.out.println(members);
            return;
        }
        System.out.printf("%-20s %-10s %5s %12s  %s%n", "gateway", "state", "index", "incarnation", "address");
        members.path("list").forEach(each -> System.out.printf("%-20s %-10s %5d %12d  %s%n", each.path("name").asText(),
            each.path("state").asText(), each.path("index").asInt(), each.path("incarnation").asLong(),
            each.path("address").asText()));
        members.fields().forEachRemaining(field -> {
            if (!field.getKey().equals("list")) {
                System.out.println(field.getKey() + ": " + field.getValue().asText());
            }
        });
    }

    /** One question and its answer. */
    private static final class Asking implements StreamListener, LineDecoder.Sink {
        private final CompletableFuture<byte[]> line;
        private final LineDecoder decoder = new LineDecoder(ANSWER_MOST, this);
        private Stream stream;

        Asking(CompletableFuture<byte[]> line) {
            this.line = line;
        }

        @Override
        public void opened() {
            stream.write(Frame.request(stream.alloc().buffer(64), 1, "members").end());
        }

        @Override
        public void received(ByteBuf bytes) {
            decoder.feed(bytes, stream.alloc());
        }

        @Override
        public void closed(String why) {
            decoder.end();
            line.completeExceptionally(new IllegalStateException(why));
        }

        @Override
        public void line(ByteBuf bytes) {
            try {
                byte[] text = RpcReader.bytes(bytes);
                if (text != null) {
                    line.complete(text);
                }
            } catch (RpcException e) {
                line.completeExceptionally(e);
            }
        }

        @Override
        public void tooLong(int most) {
            line.completeExceptionally(new IllegalStateException("an answer of over " + most + " bytes"));
        }
    }
}
