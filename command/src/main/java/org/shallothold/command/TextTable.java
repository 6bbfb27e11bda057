package org.shallothold.command;

import java.util.ArrayList;
import java.util.List;

/** Lines of aligned columns. Filled by one thread. */
public final class TextTable {

  private final List<List<String>> rows = new ArrayList<>();

  private TextTable() {}

  /** Returns a table with a heading. */
  public static TextTable of(String... heading) {
    TextTable table = new TextTable();
    table.add(heading);
    return table;
  }

  /** Adds a row with as many cells as the heading has. */
  public void add(String... cells) {
    rows.add(List.of(cells));
  }

  /** Returns the lines; the last column is not padded. */
  public String text() {
    int columns = rows.getFirst().size();
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < columns; column++) {
        int index = column;
        int width = rows.stream().mapToInt(one -> one.get(index).length()).max().orElse(0);
        line.append(row.get(column)).repeat(' ', width - row.get(column).length() + 2);
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }
}
