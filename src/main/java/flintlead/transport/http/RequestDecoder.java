package flintlead.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the requests of one client connection; only complete, small ones are passed on. It is
 * strict where leniency would allow request smuggling: two lengths, or a length beside a transfer
 * coding, end decoding. The head is limited in bytes and in fields, the body in bytes. Not
 * thread-safe.
 */
public final class RequestDecoder {

  private static final int MAX_LINE_BYTES = 1_024;
  private static final int MAX_HEADER_BYTES = 8_192;
  private static final int MAX_LENGTH_DIGITS = 12;
  private static final int MAX_SLICE_BYTES = 2_048;

  /** Chunks of a body, which take far more time to decode than their bytes alone. */
  private static final int MAX_BODY_PARTS = 1_024;

  /** Heap of a request without its fields and body. */
  private static final int PARTIAL_REQUEST_BYTES = 512;

  private static final int BAD_REQUEST = 400;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int HEADER_FIELDS_TOO_LARGE = 431;
  private static final int NOT_IMPLEMENTED = 501;

  /** Receives the decoded requests. */
  public interface RequestHandler {

    /** A complete request. The body is the handler's only until this returns. */
    void request(HttpRequest head, ByteBuf body);

    /**
     * The bytes are no request that is accepted; nothing more is decoded.
     *
     * @param status of the response to send
     * @param why for logs and the response
     */
    void rejected(int status, String why);
  }

  /**
   * Netty's decoder, which by itself would ignore the length where there is a transfer coding too.
   */
  private static final class Decoder extends HttpRequestDecoder {
    private final HeaderFields fields;
    private long startedRequests;

    Decoder(HeaderFields fields) {
      super(
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MAX_LINE_BYTES)
              .setMaxHeaderSize(MAX_HEADER_BYTES)
              .setMaxChunkSize(MAX_HEADER_BYTES)
              .setInitialBufferSize(128)
              .setHeadersFactory(fields)
              .setTrailersFactory(fields));
      this.fields = fields;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException("Content-Length together with Transfer-Encoding");
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
      startedRequests++;
      return super.createMessage(initialLine);
    }

    /** Heap that the decoded fields of the current request and its undecoded bytes occupy. */
    int heapBytes() {
      return fields.heapBytes() + actualReadableBytes();
    }

    /**
     * Whether a request is incomplete; lines of the head that were decoded already are no remaining
     * bytes.
     */
    boolean hasPartialRequest(long completeRequests) {
      return startedRequests > completeRequests || actualReadableBytes() > 0;
    }
  }

  /** Creates the header fields and trailers of a request, and adds up what they occupy. */
  private static final class HeaderFields implements HttpHeadersFactory {
    private final List<BoundedHeaders> ofRequest = new ArrayList<>(2);

    @Override
    public HttpHeaders newHeaders() {
      BoundedHeaders headers = new BoundedHeaders();
      ofRequest.add(headers);
      return headers;
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return newHeaders();
    }

    int heapBytes() {
      int sum = 0;
      for (BoundedHeaders headers : ofRequest) {
        sum += headers.heapBytes();
      }
      return sum;
    }

    void clear() {
      ofRequest.clear();
    }
  }

  private final HeaderFields fields = new HeaderFields();

  /** Null until bytes are received, as many connections never send any, and after the release. */
  private Decoder decoder;

  private EmbeddedChannel channel;
  private final int maxBodyBytes;
  private final RequestHandler handler;
  private HttpRequest head;
  private long completeRequests;
  private ByteBuf body;

  /** Number of chunks and received pieces of the current body. */
  private int bodyParts;

  private boolean ended;

  /**
   * Creates a decoder for one connection.
   *
   * @param maxBodyBytes of a request's body; a longer one is rejected by its length, without being
   *     stored
   */
  public RequestDecoder(int maxBodyBytes, RequestHandler handler) {
    this.maxBodyBytes = maxBodyBytes;
    this.handler = handler;
  }

  /** Decodes received bytes; the buffer stays the caller's. */
  public void feed(ByteBuf bytes) {
    // In slices, so that what is decoded from a malicious request stays small until it is rejected.
    for (int from = bytes.readerIndex(); from < bytes.writerIndex() && !ended; ) {
      int length = Math.min(MAX_SLICE_BYTES, bytes.writerIndex() - from);
      feedSlice(bytes.retainedSlice(from, length));
      from += length;
    }
  }

  private void feedSlice(ByteBuf slice) {
    if (channel == null) {
      decoder = new Decoder(fields);
      channel = new EmbeddedChannel(decoder);
    }
    // The handler may release this decoder, which removes the channel.
    EmbeddedChannel decoding = channel;
    try {
      decoding.writeInbound(slice);
    } catch (RuntimeException e) {
      reject(BAD_REQUEST, String.valueOf(e.getMessage()));
      return;
    }
    for (HttpObject part = decoding.readInbound(); part != null; part = decoding.readInbound()) {
      try {
        if (!ended) {
          partDecoded(part);
        }
      } finally {
        ReferenceCountUtil.release(part);
      }
    }
  }

  private void partDecoded(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      Throwable cause = part.decoderResult().cause();
      int status = cause instanceof TooLongFrameException ? HEADER_FIELDS_TOO_LARGE : BAD_REQUEST;
      reject(status, String.valueOf(cause.getMessage()));
      return;
    }
    if (part instanceof HttpRequest request) {
      beginRequest(request);
    }
    if (part instanceof HttpContent content
        && !ended
        && head != null
        && append(content.content())
        && part instanceof LastHttpContent) {
      completeRequest();
    }
  }

  /** Returns false where the body has become too long and the request was rejected. */
  private boolean append(ByteBuf content) {
    int bytes = content.readableBytes();
    if (++bodyParts > MAX_BODY_PARTS) {
      reject(BAD_REQUEST, "a body in more than " + MAX_BODY_PARTS + " parts");
      return false;
    }
    if ((body == null ? 0 : body.readableBytes()) + bytes > maxBodyBytes) {
      rejectBody();
      return false;
    }
    if (bytes > 0) {
      body = body == null ? Unpooled.buffer(bytes, maxBodyBytes) : body;
      body.writeBytes(content);
    }
    return true;
  }

  private void completeRequest() {
    HttpRequest request = head;
    ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : body;
    completeRequests++;
    fields.clear();
    head = null;
    body = null;
    bodyParts = 0;
    handler.request(request, content);
  }

  private void beginRequest(HttpRequest request) {
    List<String> lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
    List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (lengths.size() > 1 || !lengths.isEmpty() && !codings.isEmpty()) {
      reject(BAD_REQUEST, "more than one length");
      return;
    }
    if (codings.size() > 1 || codings.size() == 1 && !codings.get(0).equals("chunked")) {
      reject(NOT_IMPLEMENTED, "a transfer coding other than chunked");
      return;
    }
    if (!lengths.isEmpty() && !isLength(lengths.get(0))) {
      reject(BAD_REQUEST, "a length that is no number");
      return;
    }
    if (!lengths.isEmpty() && Long.parseLong(lengths.get(0)) > maxBodyBytes) {
      rejectBody();
      return;
    }
    head = request;
  }

  private static boolean isLength(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_LENGTH_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  private void rejectBody() {
    reject(CONTENT_TOO_LARGE, "a body of over " + maxBodyBytes + " bytes");
  }

  private void reject(int status, String why) {
    release();
    handler.rejected(status, why);
  }

  /** Whether a request has begun to arrive and is not complete yet. */
  public boolean hasPartialRequest() {
    return !ended && decoder != null && decoder.hasPartialRequest(completeRequests);
  }

  /**
   * Heap that the request which has been received in part occupies, approximately; 0 if there is no
   * such request.
   */
  public int heldBytes() {
    if (!hasPartialRequest()) {
      return 0;
    }
    return PARTIAL_REQUEST_BYTES + decoder.heapBytes() + (body == null ? 0 : body.capacity());
  }

  /** Releases what was received in part; nothing more is decoded. */
  public void release() {
    ended = true;
    head = null;
    body = null;
    fields.clear();
    if (channel != null) {
      channel.finishAndReleaseAll();
      channel = null;
      decoder = null;
    }
  }
}
