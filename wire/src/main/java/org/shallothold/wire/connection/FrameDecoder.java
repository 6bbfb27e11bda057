package org.shallothold.wire.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/**
 * Splits the incoming bytes into frames, each preceded by its length as a varint. A frame whose
 * length prefix exceeds the limit is rejected before its bytes are buffered. The limit applies to
 * each frame separately, however many arrive in one read. Stateful, so every connection needs its
 * own instance.
 */
final class FrameDecoder extends ByteToMessageDecoder {

  private static final int MAX_VARINT_BYTES = 5;
  private static final int BITS_PER_VARINT_BYTE = 7;

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
          "frame of " + length + " bytes exceeds maxFrameBytes = " + maxFrameBytes);
    }
    if (in.readableBytes() < length) {
      in.readerIndex(start);
      return;
    }
    out.add(in.readRetainedSlice((int) length));
  }

  /** Reads the length prefix, in bytes; returns -1 if it has not arrived completely. */
  private static long readLength(ByteBuf in) {
    long length = 0;
    for (int index = 0; index < MAX_VARINT_BYTES; index++) {
      if (!in.isReadable()) {
        return -1;
      }
      byte nextByte = in.readByte();
      length |= (long) (nextByte & 0x7f) << (index * BITS_PER_VARINT_BYTE);
      if (nextByte >= 0) {
        return length;
      }
    }
    in.skipBytes(in.readableBytes());
    throw new CorruptedFrameException("frame length prefix is longer than 5 bytes");
  }
}
