package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
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
	status int
	header http.Header
	body   []byte
	last   bool // the peer ends the connection with it
}

// readAnswer reads the one answer to a request, of at most most bytes. Any error but errSpoilt is one
// of reading. It guards calls against being served with what no peer made for
// them: http.ReadResponse alone lets two lengths in one head pass.
func readAnswer(in *bufio.Reader, method string, most int64) (*answer, error) {
	for room := maxHead; ; {
		head, err := readHead(in, room)
		if err != nil {
			return nil, err
		}
		room -= len(head)
		var f framing
		if f.read(head); f.torn {
			return nil, spoilt("two lengths, or a folded line")
		}
		resp, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), 512), &http.Request{Method: method})
		if err != nil {
			return nil, spoilt("head")
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 100:
			return nil, spoilt("status")
		case resp.StatusCode < 200: // ahead of the answer
			if f.skip > 0 || f.over {
				return nil, spoilt("a body ahead of the answer")
			}
			continue
		}
		a := &answer{status: resp.StatusCode, header: resp.Header, last: resp.Close}
		a.body, err = readAnswerBody(in, resp, most)
		return a, err
	}
}

// readHead reads the bytes of a head, the empty line included. It gives up at
// the first that cannot be one's: noise need not have an end.
func readHead(in *bufio.Reader, room int) ([]byte, error) {
	const start = "HTTP/1."
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

func readAnswerBody(in *bufio.Reader, resp *http.Response, most int64) (body []byte, err error) {
	switch {
	case resp.Body == http.NoBody:
		return nil, nil
	case resp.ContentLength > most:
		return nil, errOversize
	case resp.ContentLength >= 0:
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(in, body)
		return body, err
	case len(resp.TransferEncoding) > 0:
		if body, err = readBounded(httputil.NewChunkedReader(in), most); err == nil {
			err = skipTrailer(in)
		}
	case strings.EqualFold(resp.Header.Get("Connection"), "close"):
		body, err = readBounded(in, most)
	default: // the end of the connection would be no sign that it is whole
		err = spoilt("no length")
	}
	return body, err
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
