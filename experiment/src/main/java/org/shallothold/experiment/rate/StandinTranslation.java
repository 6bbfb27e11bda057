package org.shallothold.experiment.rate;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.shallothold.core.rate.ColdFigure;
import org.shallothold.core.rate.RateStatement;
import org.shallothold.gateway.forward.port.BackendRequestMetadata;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.gateway.forward.port.RequestMetadata;
import org.shallothold.gateway.forward.port.ResponseMetadata;
import org.shallothold.standin.engine.EngineStandin;

/** Reads and writes the header fields of the engine stand-in, which neither signs nor names ids. */
final class StandinTranslation implements HeaderTranslation {

  @Override
  public RequestMetadata readRequest(HttpRequest head) {
    return new RequestMetadata(null, 0, null, RequestMetadata.NO_EVENT, List.of(), 0, 0, 0);
  }

  @Override
  public HttpHeaders toBackendHeaders(HttpRequest head, BackendRequestMetadata metadata) {
    return new DefaultHttpHeaders()
        .set(HttpHeaderNames.HOST, "engine")
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
  }

  @Override
  public int urgencyLevels() {
    return 1;
  }

  @Override
  public ResponseMetadata readResponse(HttpResponse head) {
    String rate = head.headers().get(EngineStandin.STATED_RATE_HEADER);
    return new ResponseMetadata(
        null,
        true,
        false,
        -1,
        -1,
        0,
        false,
        0,
        rate == null ? RateStatement.unlimited() : RateStatement.parse(rate),
        ColdFigure.absent(),
        -1);
  }

  @Override
  public HttpHeaders toCallerHeaders(HttpResponse head) {
    return new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
  }
}
