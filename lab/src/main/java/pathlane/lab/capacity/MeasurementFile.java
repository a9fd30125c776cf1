package pathlane.lab.capacity;

import java.io.IOException;
import java.io.Reader;
import java.io.Writer;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;

/** A CSV file of {@link Measurement}s of one quantity, with the header {@code commit,machine,size,repetition,figure}. */
public final class MeasurementFile {

    private static final String[] HEADER = {"commit", "machine", "size", "repetition", "figure"};
    private static final MathContext DIGITS = new MathContext(6);
    private static final CSVFormat FORMAT = CSVFormat.DEFAULT.builder().setRecordSeparator("\n").get();

    private MeasurementFile() {}

    /** Reads all rows in file order. */
    public static List<Measurement> read(Path file) throws IOException {
        List<Measurement> rows = new ArrayList<>();
        try (Reader reader = Files.newBufferedReader(file)) {
            CSVFormat format = FORMAT.builder().setHeader(HEADER).setSkipHeaderRecord(true).get();
            for (CSVRecord row : format.parse(reader)) {
                rows.add(new Measurement(row.get("commit"), row.get("machine"), Double.parseDouble(row.get("size")),
                        Integer.parseInt(row.get("repetition")), Double.parseDouble(row.get("figure"))));
            }
        }
        return rows;
    }

    /** Appends a row to the file; a new file gets the header first. Figures are rounded to six significant digits. */
    public static void append(Path file, Measurement row) throws IOException {
        Files.createDirectories(file.getParent());
        boolean isNew = Files.notExists(file);
        try (Writer writer = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                CSVPrinter printer = new CSVPrinter(writer, FORMAT)) {
            if (isNew) {
                printer.printRecord((Object[]) HEADER);
            }
            printer.printRecord(row.commit(), row.machine(), plain(row.size()), row.repetition(), plain(row.figure()));
        }
    }

    private static String plain(double value) {
        return new BigDecimal(value).round(DIGITS).stripTrailingZeros().toPlainString();
    }
}
