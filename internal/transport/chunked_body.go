package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxChunkSizeBits is the size of the largest number that is accepted as the size of a chunk, in bits.
const maxChunkSizeBits = 62

// chunkLine is a kind of line between the data of chunks.
type chunkLine uint8

const (
	// sizeLine contains the size of a chunk.
	sizeLine chunkLine = iota
	// dataEndLine is the empty line after the data of a chunk.
	dataEndLine
	// trailerLine is a line of the trailer, which an empty line ends.
	trailerLine
)

// chunkedBody reads a body in chunks and skips the trailer after the last one. In contrast to the reader of
// net/http/httputil it never waits for more once it has bytes: that one fills the buffer of its caller and so, at the
// beginning of a chunk, would hold back the bytes that a slow server has already sent. A read that fails because its
// deadline expires can be repeated.
type chunkedBody struct {
	reader *bufio.Reader
	left   int64     // bytes of the current chunk that have not been read
	next   chunkLine // the line that follows the current chunk's data
	// trailerBytes is the number of bytes of the trailer so far.
	trailerBytes int
	err          error // io.EOF after the last chunk, or the fault of the framing; every later read returns it
}

// Read implements io.Reader.
func (c *chunkedBody) Read(b []byte) (int, error) {
	for !c.parseBuffered() {
		if err := c.await(); err != nil {
			return 0, err
		}
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.reader.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	return n, noEOF(err)
}

// ready implements responseBody.
func (c *chunkedBody) ready() bool {
	return c.parseBuffered() && (c.err != nil || c.reader.Buffered() > 0)
}

// await implements responseBody.
func (c *chunkedBody) await() error {
	_, err := c.reader.Peek(c.reader.Buffered() + 1)
	if errors.Is(err, bufio.ErrBufferFull) {
		c.err = malformedResponse("line of a chunk is too long")
		return c.err
	}
	return noEOF(err)
}

// parseBuffered parses the lines before the next data, as far as they have arrived. It reports whether it has reached
// data, the end of the body or a fault.
func (c *chunkedBody) parseBuffered() bool {
	for c.err == nil && c.left == 0 {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		end := bytes.IndexByte(buffered, '\n')
		if end < 0 {
			c.err = c.checkBeginning(buffered)
			return c.err != nil
		}
		_, _ = c.reader.Discard(end + 1)
		c.err = c.parseLine(buffered[:end+1])
	}
	return true
}

// checkBeginning returns an error if the beginning of a line shows that it is malformed. Its end may never arrive.
func (c *chunkedBody) checkBeginning(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	_, err := strconv.ParseUint(string(line[:1]), 16, maxChunkSizeBits)
	switch {
	case c.next == dataEndLine && line[0] != '\r':
		return malformedResponse("chunk is longer than its size")
	case c.next == sizeLine && err != nil:
		return malformedResponse("size of a chunk is not a number")
	}
	return nil
}

// parseLine parses a line, which includes its end. It returns io.EOF at the end of the trailer.
func (c *chunkedBody) parseLine(line []byte) error {
	if c.next == trailerLine {
		return c.parseTrailerLine(line)
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return malformedResponse("line of a chunk")
	}
	if c.next == sizeLine {
		return c.parseSize(line)
	}
	if len(line) > 0 {
		return malformedResponse("chunk is longer than its size")
	}
	c.next = sizeLine
	return nil
}

// parseSize parses the size of a chunk, which an extension may follow.
func (c *chunkedBody) parseSize(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, maxChunkSizeBits)
	if err != nil {
		return malformedResponse("size of a chunk is not a number")
	}
	c.left = int64(length)
	c.next = dataEndLine
	if length == 0 {
		c.next = trailerLine
	}
	return nil
}

// parseTrailerLine discards a line of the trailer.
func (c *chunkedBody) parseTrailerLine(line []byte) error {
	if len(bytes.TrimRight(line, "\r\n")) == 0 {
		return io.EOF
	}
	c.trailerBytes += len(line)
	if c.trailerBytes >= maxResponseHead {
		return errResponseTooLarge
	}
	return nil
}
