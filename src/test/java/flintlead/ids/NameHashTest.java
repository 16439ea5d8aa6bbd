package flintlead.ids;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The numbers on which the hash walk of every gateway depends. */
class NameHashTest {

  /**
   * Fixed values: a change of the hash would move every function's home in a fleet that is only
   * partly upgraded.
   */
  @Test
  void numbersNeverChange() {
    assertEquals(HOST, NameHash.host("w-1"));
    assertEquals(FUNCTION, NameHash.function("grade-spruce"));
    assertTrue(NameHash.function("x") < 1L << 40 && NameHash.host("x") < 1L << 32);
  }

  private static final long HOST = 1615063290L;
  private static final long FUNCTION = 102427200322L;

  @Test
  void namesWithTheSameNumberAreRejected() {
    FunctionNames names = new FunctionNames(2, name -> name.length());
    assertEquals(1, names.remember("a"));
    assertTrue(
        assertThrows(IllegalArgumentException.class, () -> names.remember("b"))
            .getMessage()
            .contains("'a'"));
    assertEquals("a", names.name(1));
  }

  @Test
  void leastRecentlyUsedNamesAreForgotten() {
    FunctionNames names = new FunctionNames(2, name -> name.length());
    names.remember("a");
    names.remember("bb");
    names.remember("a");
    names.remember("ccc");
    assertEquals(2, names.size());
    assertNull(names.name(2));
    assertEquals("a", names.name(1));
  }
}
