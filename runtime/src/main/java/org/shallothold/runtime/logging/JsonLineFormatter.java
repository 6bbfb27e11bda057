package org.shallothold.runtime.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as a JSON object on one line, with the fields of {@link LogContext}. */
public final class JsonLineFormatter extends Formatter {

  /** Holds the mapper, created with the first record so that it doesn't delay process start. */
  private static final class MapperHolder {
    private static final ObjectMapper MAPPER = new ObjectMapper();
  }

  @Override
  public String format(LogRecord logRecord) {
    ObjectNode line = MapperHolder.MAPPER.createObjectNode();
    line.put("time", logRecord.getInstant().toString());
    line.put("level", logRecord.getLevel().getName());
    line.put("logger", logRecord.getLoggerName());
    line.put("message", formatMessage(logRecord));
    Throwable thrown = logRecord.getThrown();
    if (thrown != null) {
      line.put("error", thrown.toString());
    }
    LogContext.fields().forEach(line::put);
    try {
      return MapperHolder.MAPPER.writeValueAsString(line) + "\n";
    } catch (JsonProcessingException e) {
      return "{\"level\":\"SEVERE\",\"message\":\"a log line could not be written as JSON\"}\n";
    }
  }
}
