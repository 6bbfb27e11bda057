package org.shallothold.runtime.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as one JSON line. */
public final class JsonLineFormatter extends Formatter {

  /** Made with the first record: a process that starts must not wait for it. */
  private static final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();
  }

  @Override
  public String format(LogRecord logRecord) {
    ObjectNode line = Json.MAPPER.createObjectNode();
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
      return Json.MAPPER.writeValueAsString(line) + "\n";
    } catch (JsonProcessingException e) {
      return "{\"level\":\"SEVERE\",\"message\":\"a log line could not be written as JSON\"}\n";
    }
  }
}
