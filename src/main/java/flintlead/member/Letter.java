package flintlead.member;

import java.util.List;

/**
 * What members send each other.
 *
 * @param number by which answers find their question; chosen by who asks first
 * @param from the sender's name
 * @param about of a request to ask another: the other's name; of a word: none
 * @param news of members, most pressing first
 * @param word of {@link Kind#WORD}: bytes from the decisions of one gateway to those of another
 */
public record Letter(Kind kind, long number, String from, String about, List<Member> news, byte[] word) {

    /** What a letter is. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am. */
        ACK,
        /** Ask another for me. */
        ASK,
        /** The other has not answered me yet; but I am well. */
        NACK,
        /** I am new: tell me of all. */
        JOIN,
        /** A part of all. */
        PAGE,
        /** For the decisions. */
        WORD,
        /** Asks for a page of what another has learnt. */
        QUESTION,
        /** Such a page. */
        LESSON
    }

    /** What {@code Gateway.tell} allows. */
    public static final int WORD_MOST = 256;
    public static final int LESSON_MOST = 960;

    /** @throws IllegalArgumentException when a word is longer than the port allows */
    public Letter {
        news = List.copyOf(news);
        int most = kind == Kind.LESSON ? LESSON_MOST : WORD_MOST;
        if (word.length > most) {
            throw new IllegalArgumentException("a word of " + word.length + " bytes; at most " + most + " may be told");
        }
    }

    static Letter of(Kind kind, long number, String from, String about, List<Member> news) {
        return new Letter(kind, number, from, about, news, new byte[0]);
    }
}
