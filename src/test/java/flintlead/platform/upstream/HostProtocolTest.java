package flintlead.platform.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import flintlead.scheduling.api.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The exact bytes of the host protocol's commands, and the outcomes of its status words. */
class HostProtocolTest {

  private final ByteBuf out = Unpooled.buffer();

  private String written() {
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  @Test
  void anInvocationIsALineAndItsBody() {
    HostProtocol.writeFire(out, "9b1f", "check", "00aa", 250, null, new byte[] {'h', '\r', '\n'});
    assertEquals("fire 9b1f cls=check,item=00aa,limit=250 3\r\nh\r\n\r\n", written());
  }

  @Test
  void anIdempotencyKeyIsSentAsTheNonce() {
    HostProtocol.writeFire(out, "9b1f", "lodge", "00aa", 1, "k-1", new byte[0]);
    assertEquals("fire 9b1f cls=lodge,item=00aa,limit=1,nonce=k-1 0\r\n\r\n", written());
  }

  @Test
  void commandsWithoutABodyAreSingleLines() {
    HostProtocol.writeProvision(out, "g0", 0xaa, 2);
    HostProtocol.writeLoadProbe(out, "g1");
    HostProtocol.writeLine(out, HostProtocol.unloadCommand(-1));
    HostProtocol.writeLine(out, HostProtocol.cancelCommand("9b1f"));
    assertEquals(
        "provision g0 item=00000000000000aa,units=2\r\nbusy g1\r\nretire ffffffffffffffff\r\n"
            + "never_mind 9b1f\r\n",
        written());
  }

  @Test
  void statusWordsAreMappedToOutcomes() {
    assertEquals(Outcome.OK, HostProtocol.outcomeOf("200"));
    assertEquals(Outcome.OK, HostProtocol.outcomeOf("alive"));
    assertEquals(Outcome.MISS, HostProtocol.outcomeOf("404"));
    assertEquals(Outcome.FULL, HostProtocol.outcomeOf("503"));
    assertEquals(Outcome.ERROR, HostProtocol.outcomeOf("500"));
    assertEquals(Outcome.ERROR, HostProtocol.outcomeOf("dead"));
    assertEquals(Outcome.WITHDRAWN, HostProtocol.outcomeOf("504"));
    assertNull(HostProtocol.outcomeOf("777"));
  }
}
