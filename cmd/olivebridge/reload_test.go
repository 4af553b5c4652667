package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
)

// TestReload: at SIGHUP a sound file moves the watch at once and keeps the open request; a faulty one changes nothing
// and is reported in one line.
func TestReload(t *testing.T) {
	held, release := make(chan bool), make(chan bool)
	n := start(t, unchanged, func(w http.ResponseWriter, r *http.Request) {
		held <- true
		<-release
	})
	asked := make(chan string, 10)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.RequestURI
		<-r.Context().Done()
	}))
	defer other.Close()
	status := make(chan int)
	go func() {
		got, _ := n.call(t, "POST", "/api", "book", "paid")
		status <- got
	}()
	<-held
	hup := func(old, new string) {
		text := strings.Replace(fmt.Sprintf(config, ""), old, new, 1)
		if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		n.cmd.Process.Signal(syscall.SIGHUP)
	}
	moved := fmt.Sprintf(`{"discovery":%q,`, other.Listener.Addr())
	hup("{", `{"discovery":"nowhere",`)
	n.waitForLog(t, `msg="reload refused" reason="configuration: discovery: `)
	hup("{", "")
	n.waitForLog(t, `msg="reload refused" reason="configuration: `)
	hup(`{"name":"n0"`, moved+`"name":"n1"`)
	n.waitForLog(t, `msg="reload refused" reason="configuration: name `)
	if len(asked) != 0 {
		t.Error("a refused file moved the watch")
	}
	hup(`"name":"book"`, `"name":"gift"`)
	n.waitForLog(t, `msg="reload refused" reason="configuration: a name in settings.classes `)
	hup("{", moved)
	if uri := <-asked; uri != "/registry/instances" {
		t.Errorf("asked for %s: versions of another discovery do not compare", uri)
	}
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("the open call: %d", got)
	}
	hup(`"connect_timeout":75000000`, `"connect_timeout":1`) // settings take effect as well
	n.waitForLog(t, "msg=reloaded")
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitForLog(t, "msg=draining")
	n.cmd.Process.Signal(syscall.SIGHUP)
	n.waitForLog(t, "msg=reloaded")
	n.waitForLog(t, "when=exit")
}

// TestReloadToIdempotentDuringCall: an open request stays non-idempotent when a reload makes its class idempotent. It
// may have run: it is not retried, and not rejected.
func TestReloadToIdempotentDuringCall(t *testing.T) {
	s, held, release := newRuleChecker(), make(chan bool, 4), make(chan bool)
	late := s.server("s-0", func(w http.ResponseWriter, r *http.Request) {
		held <- true
		<-release
		w.WriteHeader(http.StatusInternalServerError) // an error: it may have run
	})
	n := start(t, unchanged, late, late)
	status := make(chan int)
	go func() {
		got, _ := s.call(t, n.addr, "book", strings.NewReader("paid"))
		status <- got
	}()
	<-held
	n.reloadWith(t, `"idempotency":"side_effect"`, `"idempotency":"pure"`)
	n.waitForLog(t, "msg=reloaded")
	close(release)
	if got := <-status; got != http.StatusBadGateway {
		t.Errorf("status %d", got)
	}
	n.shutdown(t)
	s.check(t)
}
