package flintlead.platform;

import flintlead.loop.Address;
import flintlead.loop.Stream;
import flintlead.loop.StreamListener;
import flintlead.netty.NettyLoop;
import flintlead.rpc.LineDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A gateway started whole on loopback with a host that answers everything, for some invocations: what the build runs so that
 * Java can write down the classes that a gateway needs, and starts sooner by it.
 */
final class Rehearsal {

    private static final int INVOCATIONS = 200;

    private Rehearsal() {
    }

    /** @throws IOException when it can't be played; the gateway does without then */
    static void play() throws IOException {
        NettyLoop stage = new NettyLoop("rehearsal");
        Address host = stage.listen(Address.parse("tcp:127.0.0.1:0"), Host::new).address();
        Address journal = stage.listen(Address.parse("tcp:127.0.0.1:0"), Journal::new).address();
        Path file = Files.createTempFile("flintlead", ".json");
        try {
            Files.writeString(file, configuration(host, journal));
            Platform platform = new Platform(file, line -> System.err.println("flintlead: " + line));
            int port = ((Address.Tcp) platform.start()).port();
            try (Socket client = new Socket("127.0.0.1", port)) {
                BufferedReader in = new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
                for (int i = 0; i < INVOCATIONS; i++) {
                    client.getOutputStream().write(("POST /call/00000000000000aa/fire HTTP/1.1\r\nX-Class: a\r\nX-Merchant: m\r\nX-Ttl-Ms: 1000\r\n"
                        + "X-Txn: " + "0".repeat(13) + (100 + i) + "\r\nX-More: lanes:2;load_ms:1\r\nContent-Length: 1\r\n\r\nx")
                        .getBytes(StandardCharsets.US_ASCII));
                    String line = in.readLine();
                    while (line != null && !line.isEmpty()) {
                        line = in.readLine();
                    }
                }
            }
            platform.reload();
            platform.end();
            platform.join();
        } finally {
            Files.deleteIfExists(file);
            stage.close();
        }
    }

    private static String at(Address address) {
        return "\"" + address.toString().substring("tcp:".length()) + "\"";
    }

    private static String configuration(Address host, Address journal) {
        return "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1\",\"limits\":{\"memory_mb\":64,\"sockets\":128},\"journal\":"
            + at(journal) + ",\"known\":{\"pos\":1,\"entries\":[{\"pos\":1,\"hosts\":{\"snapshot\":true,\"endpoints\":[{\"name\":\"h\",\"address\":"
            + at(host) + ",\"status\":\"active\"}]}}]},\"settings\":{\"group_size\":1,\"limits\":{\"attempts_cap\":3,\"cancel\":true,"
            + "\"max_streams\":10,\"dial_timeout\":1000000,\"conn_idle\":15000000},\"extra\":{\"idle_life\":4000000},"
            + "\"services\":[{\"name\":\"a\",\"aim\":500000,\"worth\":1,\"effect\":\"repeatable\"}],\"tenants\":[{\"name\":\"m\",\"quota_per_s\":1}]}}";
    }

    /** Answers everything with nothing. */
    private record Host(Stream stream) implements StreamListener {

        @Override
        public void received(ByteBuf bytes) {
            String[] words = bytes.toString(StandardCharsets.US_ASCII).split("[ \r\n]+");
            for (int i = 0; i + 1 < words.length; i++) {
                if (words[i].equals("fire")) {
                    stream.write(Unpooled.copiedBuffer(words[i + 1] + " 200 meter=waiting:0 0\r\n\r\n", StandardCharsets.US_ASCII));
                }
            }
        }

        @Override
        public void closed(String why) {
            // The play is over.
        }
    }

    /** Tells of one more host, which drains. */
    private static final class Journal implements StreamListener, LineDecoder.Sink {
        private final Stream stream;
        private final LineDecoder lines = new LineDecoder(100, this);

        Journal(Stream stream) {
            this.stream = stream;
        }

        @Override
        public void received(ByteBuf bytes) {
            lines.feed(bytes, stream.alloc());
        }

        @Override
        public void line(ByteBuf line) {
            stream.write(Unpooled.copiedBuffer("{\"pos\":2,\"hosts\":{\"snapshot\":false,\"endpoints\":[{\"name\":\"i\",\"address\":\"127.0.0.1:1\","
                + "\"status\":\"leaving\",\"since_ms\":1}]}}\n2\n", StandardCharsets.US_ASCII));
        }

        @Override
        public void tooLong(int most) {
            stream.close();
        }

        @Override
        public void closed(String why) {
            lines.end();
        }
    }
}
