package flintlead.daemon;

import flintlead.client.Client;
import flintlead.client.Reply;
import flintlead.front.ClientFront;
import flintlead.front.FrontBounds;
import flintlead.gateway.Ask;
import flintlead.gateway.Flintlead;
import flintlead.gateway.GatewayContract;
import flintlead.loop.Address;
import flintlead.netty.NettyLoop;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/** The contract by way of the daemon's front, a Unix socket. */
class DaemonContractTest extends GatewayContract {

    private final NettyLoop loop = new NettyLoop("client");
    private Path folder;
    private Client client;

    @Override
    protected void open(Flintlead started) throws Exception {
        folder = Files.createTempDirectory("flintlead-test");
        Address front = ClientFront.open(started, new Address.Unix(folder.resolve("front")), FrontBounds.USUAL);
        CompletableFuture<Client> made = new CompletableFuture<>();
        loop.execute(() -> made.complete(Client.connect(loop, front, () -> { })));
        client = made.join();
    }

    @Override
    protected CompletableFuture<Reply> invoke(Ask ask) {
        CompletableFuture<Reply> answer = new CompletableFuture<>();
        loop.execute(() -> client.invoke(ask.function(), ask.triggerType(), ask.customer(), ask.timeout(), ask.token(),
            ask.payload(), ask.repeat(), reply -> {
                if (!answer.complete(reply)) {
                    throw new AssertionError("a second answer: " + reply);
                }
            }));
        return answer;
    }

    @Override
    protected void hangUp(CompletableFuture<Reply> answer) {
        loop.execute(client::close);
    }

    @Override
    protected void closeFront() throws Exception {
        loop.close();
        if (folder != null) {
            Files.deleteIfExists(folder.resolve("front"));
            Files.deleteIfExists(folder);
        }
    }
}
