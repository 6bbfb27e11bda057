package org.shallothold.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Server-sent events on their way to one caller, bounded in bytes. Events are added on the thread
 * that owns the requests and sent on the caller's event loop as its connection takes them.
 */
final class EventStream implements Publisher<ByteBuf> {

  /** Room for about ten seconds of a fast answer; a caller further behind is too slow. */
  private static final int MAX_WAITING_BYTES = 256 * 1024;

  private final Executor eventLoop;
  private final Deque<byte[]> waiting = new ArrayDeque<>();
  private int waitingBytes;
  private boolean ended;
  private boolean closed;
  private long demand;
  private @Nullable Subscriber<? super ByteBuf> subscriber;

  EventStream(Executor eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Adds an event; returns false if too many bytes wait already, and then nothing was added. */
  synchronized boolean offer(String event) {
    byte[] bytes = event.getBytes(StandardCharsets.UTF_8);
    if (waitingBytes + bytes.length > MAX_WAITING_BYTES) {
      return false;
    }
    add(bytes);
    return true;
  }

  /** Adds the last event, whatever waits already. */
  synchronized void end(String lastEvent) {
    ended = true;
    add(lastEvent.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
    synchronized (this) {
      subscriber = newSubscriber;
    }
    newSubscriber.onSubscribe(
        new Subscription() {
          @Override
          public void request(long count) {
            requested(count);
          }

          @Override
          public void cancel() {
            cancelled();
          }
        });
  }

  private void add(byte[] bytes) {
    if (!closed) {
      waiting.add(bytes);
      waitingBytes += bytes.length;
      eventLoop.execute(this::drain);
    }
  }

  private synchronized void requested(long count) {
    demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
    eventLoop.execute(this::drain);
  }

  private synchronized void cancelled() {
    closed = true;
    waiting.clear();
    waitingBytes = 0;
  }

  private void drain() {
    Subscriber<? super ByteBuf> to;
    synchronized (this) {
      to = subscriber;
    }
    if (to == null) {
      return;
    }
    for (byte[] next = poll(); next != null; next = poll()) {
      to.onNext(Unpooled.wrappedBuffer(next));
    }
    if (finish()) {
      to.onComplete();
    }
  }

  private synchronized byte @Nullable [] poll() {
    if (closed || demand == 0 || waiting.isEmpty()) {
      return null;
    }
    demand--;
    byte[] next = waiting.removeFirst();
    waitingBytes -= next.length;
    return next;
  }

  /** Returns true once, when the last event has been taken. */
  private synchronized boolean finish() {
    if (closed || !ended || !waiting.isEmpty()) {
      return false;
    }
    closed = true;
    return true;
  }
}
