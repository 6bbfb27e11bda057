package org.shallothold.wire.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/**
 * Cuts the incoming bytes into frames, each preceded by its length as a varint. Refuses a frame by
 * its announced length, before its bytes are buffered, and counts each frame alone, however many
 * arrive together. Made for each connection.
 */
final class FrameDecoder extends ByteToMessageDecoder {

  private static final int MAX_LENGTH_BYTES = 5;
  private static final int LENGTH_BITS = 7;

  private final int maxFrameBytes;

  FrameDecoder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    int start = in.readerIndex();
    long length = readLength(in);
    if (length < 0) {
      in.readerIndex(start);
      return;
    }
    if (length > maxFrameBytes) {
      in.skipBytes(in.readableBytes());
      throw new TooLongFrameException(
          "a frame of " + length + " bytes; allowed are " + maxFrameBytes);
    }
    if (in.readableBytes() < length) {
      in.readerIndex(start);
      return;
    }
    out.add(in.readRetainedSlice((int) length));
  }

  /** Returns the length; -1 if its bytes have not all arrived. */
  private static long readLength(ByteBuf in) {
    long length = 0;
    for (int index = 0; index < MAX_LENGTH_BYTES; index++) {
      if (!in.isReadable()) {
        return -1;
      }
      byte part = in.readByte();
      length |= (long) (part & 0x7f) << (index * LENGTH_BITS);
      if (part >= 0) {
        return length;
      }
    }
    in.skipBytes(in.readableBytes());
    throw new CorruptedFrameException("the length of a frame has more than 5 bytes");
  }
}
