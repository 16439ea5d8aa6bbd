package flintlead.transport.jsonrpc;

import com.fasterxml.jackson.core.JsonToken;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The members of one JSON object, parsed one level deep: scalars as text, every value with its JSON
 * text as received.
 */
public final class JsonMembers {

  /** More members than any message here has; a larger object is rejected. */
  static final int MAX_MEMBERS = 32;

  /** An object without members. */
  public static final JsonMembers NONE = new JsonMembers(new byte[0]);

  private record Member(String name, JsonToken token, String text, int from, int to) {}

  private final byte[] source;
  private final List<Member> members = new ArrayList<>(8);

  JsonMembers(byte[] source) {
    this.source = source;
  }

  /**
   * Adds a member.
   *
   * @param text of a scalar; null for any other value
   * @param from where the value begins in the source
   * @param to where it ends, exclusive
   * @return false where the name is present already or there are too many members
   */
  boolean add(String name, JsonToken token, String text, int from, int to) {
    if (members.size() >= MAX_MEMBERS || find(name) != null) {
      return false;
    }
    members.add(new Member(name, token, text, from, to));
    return true;
  }

  private Member find(String name) {
    for (Member member : members) {
      if (member.name.equals(name)) {
        return member;
      }
    }
    return null;
  }

  /** Whether there is a member of the name, with any value. */
  public boolean has(String name) {
    return find(name) != null;
  }

  /** The names in the order received. */
  public List<String> names() {
    return members.stream().map(Member::name).toList();
  }

  /** The value of a string; null where it is absent or no string. */
  public String string(String name) {
    Member member = find(name);
    return member != null && member.token == JsonToken.VALUE_STRING ? member.text : null;
  }

  /** The value of a number; NaN where it is absent or no number. */
  public double number(String name) {
    Member member = find(name);
    return member != null && member.token.isNumeric()
        ? Double.parseDouble(member.text)
        : Double.NaN;
  }

  /** The value of a number; the default where it is absent or no number. */
  public double number(String name, double defaultValue) {
    double number = number(name);
    return Double.isNaN(number) ? defaultValue : number;
  }

  /** Whether the value is {@code true}. */
  public boolean isTrue(String name) {
    Member member = find(name);
    return member != null && member.token == JsonToken.VALUE_TRUE;
  }

  /** Whether the value is a boolean. */
  public boolean isBoolean(String name) {
    Member member = find(name);
    return member != null && member.token.isBoolean();
  }

  /** A copy of the value's JSON text; null where it is absent. */
  public byte[] json(String name) {
    Member member = find(name);
    return member == null ? null : Arrays.copyOfRange(source, member.from, member.to);
  }
}
