package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// partSize is the number of bytes of the body in each part of an answer.
	partSize = 50_000
	// partPause is the server's pause between two parts. It is below 2 s, and crosses the end of the call's time by more
	// than half a second.
	partPause = 1400 * time.Millisecond
	// partTimeout is the time of the call.
	partTimeout = 700 * time.Millisecond
)

// answerInParts is an answer of three parts, each of which brings partSize bytes of the body.
type answerInParts struct {
	name  string
	parts [3]string
}

// answersInParts returns an answer over 64 KiB in each framing, with parts that end in each place where the framing can
// be cut.
func answersInParts() []answerInParts {
	const (
		sized   = "HTTP/1.1 200 OK\r\nContent-Length: 150000\r\n\r\n"
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		closed  = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
		early   = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	)
	data := strings.Repeat("x", partSize)
	size := fmt.Sprintf("%x", partSize)
	chunk := size + "\r\n" + data + "\r\n"
	small := strings.Repeat("3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", partSize/1000)
	const end = "0\r\n\r\n"
	// cut returns a chunked answer whose first two parts end after the beginning of the next chunk's line.
	cut := func(name, begun, rest string) answerInParts {
		next := rest + data + "\r\n"
		return answerInParts{name, [3]string{chunked + chunk + begun, next + begun, next + end}}
	}
	return []answerInParts{
		{"with a length", [3]string{sized + data, data, data}},
		{"without a length", [3]string{closed + data, data, data}},
		{"after an interim answer", [3]string{early + closed + data, data, data}},
		{"chunk's end", [3]string{chunked + chunk, chunk, chunk + end}},
		{"end of small chunks", [3]string{chunked + small, small, small + end}},
		{"chunk's data", [3]string{chunked + size + "\r\n" + data, "\r\n" + size + "\r\n" + data, "\r\n" + chunk + end}},
		{"within a large chunk", [3]string{chunked + "249f0\r\n" + data, data, data + "\r\n" + end}},
		{"within a line end", [3]string{
			chunked + size + "\r\n" + data + "\r", "\n" + size + "\r\n" + data + "\r", "\n" + chunk + end}},
		{"trailer", [3]string{chunked + chunk, chunk + chunk + "0\r\nA: ", "b\r\n\r\n"}},
		{"last size", [3]string{chunked + chunk, chunk + chunk + "0", "\r\n\r\n"}},
		{"last line end", [3]string{chunked + chunk, chunk + chunk + "0\r\n\r", "\n"}},
		cut("half a size", size[:2], size[2:]+"\r\n"),
		cut("a size without its line end", size, "\r\n"),
		cut("half an extension", size+";a=", "b\r\n"),
		cut("a size and half its line end", size+"\r", "\n"),
		cut("a size line", size+"\r\n", ""),
	}
}

// Each of the six servers answers soundly, in parts.
func TestAnswerInPartsIsNotHeldBackOrCut(t *testing.T) {
	for _, class := range []string{"status", "book"} {
		for _, answer := range answersInParts() {
			t.Run(class+"/"+answer.name, func(t *testing.T) {
				t.Parallel()
				playAnswerInParts(t, class, answer)
			})
		}
	}
}

// playAnswerInParts has each of six servers give the answer, and sends one call.
func playAnswerInParts(t *testing.T, class string, answer answerInParts) {
	server := &partsServer{answer: answer, begun: make(chan time.Time, 100)}
	limited := strings.NewReplacer(
		`"memory_mb":192`, `"memory_mb":64`, `"aim":5000000000`, `"aim":300000000`).Replace(config)
	n := prepare(t, limited, unchangedList,
		server.serve, server.serve, server.serve, server.serve, server.serve, server.serve)
	n.markServersWarm(t)
	n.launch(t)
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sent := time.Now()
	sendCall(conn, class, partTimeout)
	_ = conn.SetReadDeadline(sent.Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(sent); resp.StatusCode != http.StatusOK || elapsed > partTimeout {
		t.Errorf("status %d after %v, want 200 within %v; the first part was written after %v", resp.StatusCode, elapsed,
			partTimeout, (<-server.begun).Sub(sent))
	}
	for part := range answer.parts {
		received, err := io.CopyN(io.Discard, resp.Body, partSize)
		if err != nil {
			t.Fatalf("part %d: %d bytes, then %v", part, received, err)
		}
		if late := time.Since(sent) - time.Duration(part)*partPause; late > partTimeout {
			t.Errorf("part %d was held back for %v", part, late)
		}
	}
	if rest, err := io.Copy(io.Discard, resp.Body); rest != 0 || err != nil {
		t.Errorf("%d bytes and error %v behind the answer", rest, err)
	}
	if attempts := len(server.begun); attempts != 1 {
		t.Errorf("%d attempts, want 1: the first server was answering", attempts)
	}
}

// sendCall writes a call without a body to a connection.
func sendCall(conn net.Conn, class string, timeout time.Duration) {
	method := http.MethodPost
	if class == "status" {
		method = http.MethodGet
	}
	var header strings.Builder
	callHeader(fmt.Sprint("9b1f-", lastCallID.Add(1)), class, fmt.Sprint(timeout.Seconds())).Write(&header)
	fmt.Fprintf(conn, "%s /api HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n%s\r\n", method, header.String())
}

// partsServer gives an answer in parts, with a pause between them.
type partsServer struct {
	answer answerInParts
	begun  chan time.Time // receives the time at which each attempt's answer begins
}

// serve is its handler.
func (s *partsServer) serve(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	s.begun <- time.Now()
	for i, part := range s.answer.parts {
		if i > 0 {
			time.Sleep(partPause)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
	}
}
