package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"time"

	"olivebridge/internal/protocol"
)

// errSpoilt marks an answer that breaks HTTP/1.1 or its own word. Its try may
// have run, and its connection is of no further use.
var errSpoilt = errors.New("spoilt answer")

// errOversize is a spoilt answer that exceeds what an answer may have.
var errOversize = fmt.Errorf("%w: too long", errSpoilt)

func spoilt(what string) error { return fmt.Errorf("%w: %s", errSpoilt, what) }

// maxHead bounds the bytes of an answer's head, together with what comes ahead of it.
const maxHead = 32 << 10

// answer is a whole answer of a peer.
type answer struct {
	answerHead
	body []byte
	buf  *buffer // that body stands in; nil: none of the carrier's
	rest *rest   // of a long one, whose first part is the body; nil: there is none
}

// readAnswer reads the one answer to a request, into a buffer of home's; of one
// that is long, or of unknown length and slow to come, the first part. Any error
// but errSpoilt is one of reading.
func readAnswer(c *peerConn, in *bufio.Reader, home *buffers, until time.Time) (a answer, err error) {
	for room := maxHead; ; {
		head, err := readHead(in, room)
		if err != nil {
			return a, err
		}
		room -= len(head)
		if a.answerHead, err = parseHead(string(head)); err != nil {
			return a, err
		}
		switch {
		case a.status == 101 || a.status < 100:
			return a, spoilt("status")
		case a.status < 200: // ahead of the answer
			if a.length > 0 || a.chunked {
				return a, spoilt("a body ahead of the answer")
			}
			continue
		}
		return a, a.readBody(c, in, home, until)
	}
}

// readHead reads the bytes of a head, the empty line included; they hold until
// the next read. It gives up at the first that cannot be one's: noise need not
// have an end.
func readHead(in *bufio.Reader, room int) ([]byte, error) {
	const start = "HTTP/1."
	if _, err := in.Peek(1); err != nil {
		return nil, err
	}
	if got, _ := in.Peek(in.Buffered()); bytes.HasPrefix(got, []byte(start)) { // most heads come whole
		if end := bytes.Index(got, []byte("\n\r\n")) + len("\n\r\n"); end >= len("\n\r\n") && end <= room {
			in.Discard(end)
			return got[:end], nil
		}
	}
	var head []byte
	for len(head) < len(start) {
		b, err := in.ReadByte()
		if err != nil {
			return nil, err
		}
		if head = append(head, b); b != start[len(head)-1] {
			return nil, spoilt("no head")
		}
	}
	for begun := true; ; { // begun: a line is, with what has been read
		part, err := in.ReadSlice('\n')
		if head = append(head, part...); len(head) > room {
			return nil, errOversize
		}
		switch {
		case err == bufio.ErrBufferFull:
			begun = true
		case err != nil:
			return nil, err
		case !begun && len(bytes.TrimRight(part, "\r\n")) == 0:
			return head, nil
		default:
			begun = false
		}
	}
}

// readBody reads what follows the head.
func (a *answer) readBody(c *peerConn, in *bufio.Reader, home *buffers, until time.Time) (err error) {
	switch {
	case a.status == 204 || a.status == 304: // have none
	case a.chunked:
		err = a.begin(c, in, &trailed{chunks: httputil.NewChunkedReader(in), in: in}, until)
	case a.length > maxStream:
		err = errOversize
	case a.length > protocol.MaxBodyBytes:
		a.rest = &rest{c: c, in: in, body: in, length: a.length, left: a.length}
	case a.length > 0:
		a.buf = home.take(int(a.length))
		a.body = a.buf.b[:a.length]
		_, err = io.ReadFull(in, a.body)
	case a.length == 0:
	case strings.EqualFold(a.first("Connection"), "close"):
		err = a.begin(c, in, in, until)
	default: // the end of the connection would be no sign that it is whole
		err = spoilt("no length")
	}
	return err
}

// begin reads the first part of a body whose length is not announced.
func (a *answer) begin(c *peerConn, in *bufio.Reader, body io.Reader, until time.Time) (err error) {
	var whole bool
	if a.body, whole, err = gather(c, in, body, protocol.MaxBodyBytes, until); err == nil && !whole {
		a.rest = &rest{c: c, in: in, body: body, length: -1, left: maxStream}
	}
	return err
}

// skipTrailer reads what stands behind the last chunk.
func skipTrailer(in *bufio.Reader) error {
	for room := maxHead; room > 0; {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		room -= len(line)
	}
	return errOversize
}
