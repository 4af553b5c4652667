package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// serviceTime is the time that a server takes for a request after its last byte, and heavyServiceTime that for a request
// whose body begins with heavyBody.
const (
	serviceTime      = 25 * time.Millisecond
	heavyServiceTime = 400 * time.Millisecond
	heavyBody        = "heavy"
)

// serverIdleTimeout is the time after which a server closes an idle connection, as the settings state.
const serverIdleTimeout = 10 * time.Second

// runServer is a stand-in server. It answers each request with its own name and the request's id, and writes a line to
// standard output when a request starts, which is when its last byte has arrived.
func runServer(name, addr string) {
	mux := http.NewServeMux()
	mux.HandleFunc("/health/live", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/api", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Call-Id")
		if id == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		start := make([]byte, len(heavyBody))
		read, _ := io.ReadFull(r.Body, start) // an error shows again at the next read
		n, err := io.Copy(io.Discard, r.Body)
		n += int64(read)
		if err != nil { // the last byte has not arrived: the request does not start
			fmt.Printf("%s server %s: request %s ended after %d bytes of its body\n", clock(time.Now()), name, id, n)
			return
		}
		fmt.Printf("%s server %s: runs %s, body %d bytes, X-Budget %s\n", clock(time.Now()), name, id, n, r.Header.Get("X-Budget"))
		if string(start) == heavyBody {
			time.Sleep(heavyServiceTime)
		} else {
			time.Sleep(serviceTime)
		}
		_ = json.NewEncoder(w).Encode(reply{Server: name, Call: id, Bytes: n})
	})
	server := &http.Server{Addr: addr, Handler: mux, IdleTimeout: serverIdleTimeout}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(exitFailed)
}

// reply is the body of a server's answer.
type reply struct {
	Server string `json:"server"`
	Call   string `json:"call"`
	Bytes  int64  `json:"bytes"`
}

// clock returns a time of day for the record.
func clock(t time.Time) string { return t.Format("15:04:05.000") }
