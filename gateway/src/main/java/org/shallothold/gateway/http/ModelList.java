package org.shallothold.gateway.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The models that a customer's classes reach, in the shape that OpenAI's clients expect. */
final class ModelList {

  private ModelList() {}

  static Reply of(RequestReader reader) {
    Set<String> names = new TreeSet<>();
    reader.customer().classes().stream()
        .flatMap(name -> reader.configuration().serviceClass(name).stream())
        .flatMap(item -> item.servers().stream())
        .flatMap(id -> reader.configuration().server(id).stream())
        .forEach(server -> names.addAll(server.models()));
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("object", "list");
    ArrayNode data = node.putArray("data");
    names.forEach(
        name ->
            data.addObject()
                .put("id", name)
                .put("object", "model")
                .put("created", 0)
                .put("owned_by", "shallothold"));
    return new Reply.Whole(
        200, "application/json", Map.of(), node.toString().getBytes(StandardCharsets.UTF_8));
  }
}
