package review;

import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Record record;

    /** Runs the case; returns whether the rule was broken. */
    abstract boolean isBroken() throws Exception;

    static void run(Case aCase, Path directory) {
        int exit;
        try (Record record = new Record(directory.resolve("record.txt"))) {
            aCase.record = record;
            record.add("trouble=%s", aCase.trouble);
            try {
                boolean broken = aCase.isBroken();
                record.add(broken ? "the rule was broken" : "the rule held");
                exit = broken ? BROKEN : HELD;
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
                exit = NOT_RUN;
            }
            System.out.println(directory + ": exit " + exit);
        } catch (java.io.IOException e) {
            System.err.println("cannot write the record: " + e);
            exit = NOT_RUN;
        }
        System.exit(exit);
    }
}
