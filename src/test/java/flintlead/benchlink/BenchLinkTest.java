package flintlead.benchlink;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import net.jqwik.api.Example;

/** Passes the example bytes of the wire protocol's description through the adapter. */
class BenchLinkTest {

  private static final String LIST =
      "0b00000000020000000000010000074a1203000000000000000000000080 3f"
          + "0000010000f211902c0020145d00000000000000c03f";
  private static final String ANNOUNCE = "010300022900000000000000 00000000";
  private static final String ARRIVAL =
      "020300c4913a5d722c0200000000010ad2557c00000080a90300e02e0000"
          + "0000c0430000004000006144 01";
  private static final String REPLY = "040300c4913a5d722c020000074a12030a004448000001000100004040";
  private static final String SETTINGS =
      "group_size=1\n"
          + "services.count=1\n"
          + "services.0.aim=750000\n"
          + "services.0.effect=repeatable\n"
          + "services.0.worth=3.0\n"
          + "limits.attempts_cap=3\n"
          + "tick=2000\n"
          + "new.key=1\n"
          + "extra.idle_life=8000000\n"
          + "rules.fall_multiple=2\n"
          + "rules.cold_from=0.3";

  private static byte[] bytes(String hex) {
    return HexFormat.of().parseHex(hex.replace(" ", ""));
  }

  private static byte[] configure() {
    byte[] text = SETTINGS.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(15 + text.length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .put((byte) 0)
        .putShort((short) 3)
        .putLong(99)
        .putInt(text.length)
        .put(text)
        .array();
  }

  private static byte[] batch(int sequence, long clock, int records, byte[]... parts) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      body.writeBytes(part);
    }
    return ByteBuffer.allocate(20 + body.size())
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(body.size())
        .putLong(clock)
        .putInt(records)
        .putInt(sequence)
        .put(body.toByteArray())
        .array();
  }

  private static byte[] run(byte[]... batches) throws Exception {
    ByteArrayOutputStream in = new ByteArrayOutputStream();
    for (byte[] batch : batches) {
      in.writeBytes(batch);
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new BenchLink(new ByteArrayInputStream(in.toByteArray()), out).run();
    return out.toByteArray();
  }

  @Example
  void emptyBatchGetsTheDocumentedReply() throws Exception {
    assertArrayEquals(
        bytes("00000000 00000000 01000000"),
        run(bytes("00000000 5a5c800000000000 00000000 01000000")));
  }

  @Example
  void arrivalIsDispatchedAndItsReplyFinishesIt() throws Exception {
    byte[] start =
        batch(1, 8_412_250, 4, configure(), bytes(LIST), bytes(ANNOUNCE), bytes(ARRIVAL));
    byte[] reply =
        run(
            start,
            batch(2, 8_430_000, 1, bytes(REPLY)),
            batch(3, 8_440_000, 1, bytes("050300c4913a5d722c0200")));
    ByteBuffer read = ByteBuffer.wrap(reply).order(ByteOrder.LITTLE_ENDIAN);
    assertEquals(3, read.getInt(0), "a hand_off between the timers for its deadline and its host");
    assertEquals(19 + 23 + 19, read.getInt(4));
    assertEquals(1, read.getInt(8));
    assertEquals(0, read.get(12), "sleep");
    assertEquals(7, read.get(12 + 19), "hand_off");
    assertEquals(0x00022c725d3a91c4L, read.getLong(12 + 19 + 3));
    long host = read.getInt(12 + 19 + 11) & 0xffffffffL;
    assertTrue(host == 0x03124a07L || host == 0x2c9011f2L);
    assertEquals(12 + 61 + 12 + 12, reply.length, "nothing is asked for after the answer");
  }

  @Example
  void haltDiscardsTheState() throws Exception {
    byte[] start =
        batch(1, 8_412_250, 4, configure(), bytes(LIST), bytes(ANNOUNCE), bytes(ARRIVAL));
    byte[] again =
        batch(2, 8_420_000, 4, bytes("090300"), configure(), bytes(ANNOUNCE), bytes(REPLY));
    assertEquals(12 + 61 + 12, run(start, again).length);
  }

  @Example
  void malformedInputIsReportedWithItsPosition() {
    var unknownEvent =
        assertThrows(MalformedFrameException.class, () -> run(batch(5, 1, 1, bytes("63"))));
    assertEquals("batch 5, record 0 at offset 0: unknown event code 99", unknownEvent.getMessage());
    var truncatedRecord =
        assertThrows(
            MalformedFrameException.class, () -> run(batch(6, 1, 2, configure(), bytes("050300"))));
    assertTrue(
        truncatedRecord.getMessage().endsWith("it is cut short"), truncatedRecord.getMessage());
    assertThrows(MalformedFrameException.class, () -> run(bytes("0000")));
  }
}
