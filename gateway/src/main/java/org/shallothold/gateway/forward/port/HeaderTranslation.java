package org.shallothold.gateway.forward.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Reads and writes the header fields by which a platform's callers and backend servers speak. */
public interface HeaderTranslation {

  /**
   * Returns what the head of a caller's request says; a field that can't be read counts as absent.
   */
  RequestFacts request(HttpRequest head);

  /**
   * Returns the header fields for a backend server: the caller's own, without those that belong to
   * its connection or that only the gateway may set, and with the gateway's.
   */
  HttpHeaders forward(HttpRequest head, SendFacts facts);

  /** Returns how many levels of urgency backend servers know. */
  int urgencyLevels();

  /** Returns what the head of a backend server's answer says. */
  AnswerFacts answer(HttpResponse head);

  /** Returns the header fields of an answer for the caller. */
  HttpHeaders backward(HttpResponse head);
}
