package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
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
}

// readAnswer reads the one answer to a request, of at most most bytes, into a
// buffer of home's. Any error but errSpoilt is one of reading.
func readAnswer(in *bufio.Reader, home *buffers, most int64) (a answer, err error) {
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
		return a, a.readBody(in, home, most)
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
func (a *answer) readBody(in *bufio.Reader, home *buffers, most int64) (err error) {
	switch {
	case a.status == 204 || a.status == 304: // have none
	case a.chunked:
		if a.body, err = readBounded(httputil.NewChunkedReader(in), most); err == nil {
			err = skipTrailer(in)
		}
	case a.length > most:
		err = errOversize
	case a.length > 0:
		a.buf = home.take(int(a.length))
		a.body = a.buf.b[:a.length]
		_, err = io.ReadFull(in, a.body)
	case a.length == 0:
	case strings.EqualFold(a.first("Connection"), "close"):
		a.body, err = readBounded(in, most)
	default: // the end of the connection would be no sign that it is whole
		err = spoilt("no length")
	}
	return err
}

func readBounded(r io.Reader, most int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, most+1))
	if err == nil && int64(len(body)) > most {
		err = errOversize
	}
	return body, err
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
