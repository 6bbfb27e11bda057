package org.shallothold.wire.connection;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against accepting frames of unlimited length, and against rejecting valid frames because
 * several of them arrive in one read and together exceed the limit.
 */
class FrameDecoderTest {

  private static final int MAX_FRAME_BYTES = 300;

  @Test
  void limitAppliesToEachPipelinedFrame() {
    EmbeddedChannel sender = new EmbeddedChannel(new ProtobufVarint32LengthFieldPrepender());
    for (int frame = 0; frame < 50; frame++) {
      sender.writeOutbound(Unpooled.wrappedBuffer(new byte[MAX_FRAME_BYTES]));
    }
    ByteBuf concatenated = Unpooled.buffer();
    for (ByteBuf part = sender.readOutbound(); part != null; part = sender.readOutbound()) {
      concatenated.writeBytes(part);
      part.release();
    }
    EmbeddedChannel receiver = new EmbeddedChannel(new FrameDecoder(MAX_FRAME_BYTES));
    receiver.writeInbound(concatenated);
    int frames = 0;
    for (ByteBuf frame = receiver.readInbound(); frame != null; frame = receiver.readInbound()) {
      assertEquals(MAX_FRAME_BYTES, frame.readableBytes());
      frame.release();
      frames++;
    }
    assertEquals(50, frames);
  }

  @Test
  void frameArrivingByteByByteIsDecoded() {
    EmbeddedChannel receiver = new EmbeddedChannel(new FrameDecoder(MAX_FRAME_BYTES));
    byte[] bytes = new byte[202];
    bytes[0] = (byte) 0xc8;
    bytes[1] = 1;
    bytes[201] = 42;
    for (byte part : bytes) {
      receiver.writeInbound(Unpooled.wrappedBuffer(new byte[] {part}));
    }
    ByteBuf frame = receiver.readInbound();
    byte[] expected = new byte[200];
    expected[199] = 42;
    assertArrayEquals(expected, ByteBufUtil.getBytes(frame));
    frame.release();
  }

  @Test
  void tooLongFrameIsRejectedBeforeItsBytesArrive() {
    EmbeddedChannel receiver = new EmbeddedChannel(new FrameDecoder(MAX_FRAME_BYTES));
    ByteBuf lengthOnly = Unpooled.wrappedBuffer(new byte[] {(byte) 0xad, 2});
    assertThrows(TooLongFrameException.class, () -> receiver.writeInbound(lengthOnly));
  }

  @Test
  void lengthPrefixOfSixBytesIsRejected() {
    EmbeddedChannel receiver = new EmbeddedChannel(new FrameDecoder(Integer.MAX_VALUE));
    ByteBuf length = Unpooled.wrappedBuffer(new byte[] {-1, -1, -1, -1, -1, 1});
    assertThrows(CorruptedFrameException.class, () -> receiver.writeInbound(length));
  }

  /** Random input must produce only frames within the limit or a {@link DecoderException}. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15})
  void randomInputGivesOnlyFramesOrDecoderExceptions(long seed) {
    Random random = new Random(seed);
    for (int round = 0; round < 2_000; round++) {
      EmbeddedChannel receiver = new EmbeddedChannel(new FrameDecoder(MAX_FRAME_BYTES));
      byte[] bytes = new byte[random.nextInt(1_500)];
      random.nextBytes(bytes);
      // Inserts small length prefixes, so that many frames are complete.
      for (int index = 0; index < bytes.length; index += 1 + random.nextInt(60)) {
        bytes[index] = (byte) random.nextInt(64);
      }
      try {
        receiver.writeInbound(Unpooled.wrappedBuffer(bytes));
      } catch (DecoderException e) {
        // Expected for an invalid or too long length prefix.
      }
      for (ByteBuf frame = receiver.readInbound(); frame != null; frame = receiver.readInbound()) {
        assertEquals(true, frame.readableBytes() <= MAX_FRAME_BYTES);
        frame.release();
      }
    }
  }
}
