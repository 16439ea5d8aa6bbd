package flintlead.ids;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Numbers that the walk of every gateway rests on. */
class IdsTest {

    /** Written down once: a change would move every function's home in a fleet that is half updated. */
    @Test
    void numbersNeverChange() {
        assertEquals(HOST, Ids.host("w-1"));
        assertEquals(FUNCTION, Ids.function("grade-spruce"));
        assertTrue(Ids.function("x") < 1L << 40 && Ids.host("x") < 1L << 32);
    }

    private static final long HOST = 1615063290L;
    private static final long FUNCTION = 102427200322L;

    @Test
    void twoNamesWithOneNumberAreNoticed() {
        FunctionNames names = new FunctionNames(2, name -> name.length());
        assertEquals(1, names.number("a"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> names.number("b")).getMessage().contains("'a'"));
        assertEquals("a", names.name(1));
    }

    @Test
    void theNamesUsedLongestAgoAreForgotten() {
        FunctionNames names = new FunctionNames(2, name -> name.length());
        names.number("a");
        names.number("bb");
        names.number("a");
        names.number("ccc");
        assertEquals(2, names.size());
        assertNull(names.name(2));
        assertEquals("a", names.name(1));
    }
}
