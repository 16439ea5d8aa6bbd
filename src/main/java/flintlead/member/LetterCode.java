package flintlead.member;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Letters as bytes: version, kind, number, sender, whom it is about, word, then members until the end. At most
 * {@link #BYTES_MOST}, so that no datagram is cut into pieces on the way (RFC 8085, 3.2).
 */
public final class LetterCode {

    public static final int BYTES_MOST = 1_200;
    private static final byte VERSION = 1;

    private LetterCode() {
    }

    /** Writes it with as much of its news as fits, from the first on. */
    public static byte[] write(Letter letter) {
        ByteBuffer bytes = ByteBuffer.allocate(BYTES_MOST);
        bytes.put(VERSION).put((byte) letter.kind().ordinal()).putLong(letter.number());
        text(bytes, letter.from());
        text(bytes, letter.about());
        bytes.putShort((short) letter.word().length).put(letter.word());
        for (Member each : letter.news()) {
            if (bytes.remaining() < size(each)) {
                break;
            }
            text(bytes, each.name());
            text(bytes, each.address());
            bytes.putInt(each.index()).putLong(each.incarnation()).put((byte) each.state().ordinal());
            if (each.state() == Member.State.SUSPECT) {
                text(bytes, each.by());
            }
        }
        byte[] written = new byte[bytes.position()];
        bytes.flip().get(written);
        return written;
    }

    /** Bytes that a member takes in a letter. */
    static int size(Member member) {
        return 2 + member.name().getBytes(StandardCharsets.UTF_8).length
            + member.address().getBytes(StandardCharsets.UTF_8).length + Integer.BYTES + Long.BYTES + 1
            + (member.state() == Member.State.SUSPECT ? 1 + member.by().getBytes(StandardCharsets.UTF_8).length : 0);
    }

    /** Bytes of a letter without news. */
    static int head(String from, String about, int word) {
        return 2 + Long.BYTES + 2 + from.getBytes(StandardCharsets.UTF_8).length
            + about.getBytes(StandardCharsets.UTF_8).length + 2 + word;
    }

    private static void text(ByteBuffer bytes, String text) {
        byte[] utf = text.getBytes(StandardCharsets.UTF_8);
        bytes.put((byte) utf.length).put(utf);
    }

    private static String text(ByteBuffer bytes) {
        byte[] utf = new byte[bytes.get() & 0xff];
        bytes.get(utf);
        return new String(utf, StandardCharsets.UTF_8);
    }

    /** @throws IllegalArgumentException when it is no letter of this version; nothing of it counts then */
    public static Letter read(byte[] from) {
        ByteBuffer bytes = ByteBuffer.wrap(from);
        try {
            if (from.length > BYTES_MOST) {
                throw new IllegalArgumentException("a letter of " + from.length + " bytes, over " + BYTES_MOST);
            }
            int version = bytes.get();
            if (version != VERSION) {
                throw new IllegalArgumentException("a letter of version " + version + ", not " + VERSION);
            }
            Letter.Kind kind = of(Letter.Kind.values(), bytes.get());
            long number = bytes.getLong();
            String sender = text(bytes);
            String about = text(bytes);
            byte[] word = new byte[bytes.getShort() & 0xffff];
            bytes.get(word);
            if (sender.isEmpty() || sender.length() > Member.NAME_MOST || about.length() > Member.NAME_MOST) {
                throw new IllegalArgumentException("a letter from nobody");
            }
            List<Member> news = new ArrayList<>();
            while (bytes.hasRemaining()) {
                String name = text(bytes);
                String address = text(bytes);
                int index = bytes.getInt();
                long incarnation = bytes.getLong();
                Member.State state = of(Member.State.values(), bytes.get());
                news.add(new Member(name, address, index, incarnation, state,
                    state == Member.State.SUSPECT ? text(bytes) : ""));
            }
            return new Letter(kind, number, sender, about, news, word);
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("a letter that ends too soon");
        }
    }

    private static <E> E of(E[] all, byte number) {
        if (number < 0 || number >= all.length) {
            throw new IllegalArgumentException("a letter with a kind or state " + number + " that there is not");
        }
        return all[number];
    }
}
