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

// TestReload checks a reload on SIGHUP: a valid file moves the watch to another discovery immediately and does not
// affect the open request; an invalid file changes nothing and is reported in one line.
func TestReload(t *testing.T) {
	held, release := make(chan bool), make(chan bool)
	n := start(t, unchangedList, func(w http.ResponseWriter, r *http.Request) {
		held <- true
		<-release
	})
	polled := make(chan string, 10)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polled <- r.RequestURI
		<-r.Context().Done()
	}))
	defer other.Close()
	status := make(chan int)
	go func() {
		got, _ := n.call(t, "POST", "/api", "book", "paid")
		status <- got
	}()
	<-held
	reloadWith := func(old, new string) {
		text := strings.Replace(fmt.Sprintf(config, ""), old, new, 1)
		if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		n.cmd.Process.Signal(syscall.SIGHUP)
	}
	otherDiscovery := fmt.Sprintf(`{"discovery":%q,`, other.Listener.Addr())
	reloadWith("{", `{"discovery":"nowhere",`)
	n.waitForLog(t, `msg="reload refused" reason="configuration: discovery: `)
	reloadWith("{", "")
	n.waitForLog(t, `msg="reload refused" reason="configuration: `)
	reloadWith(`{"name":"n0"`, otherDiscovery+`"name":"n1"`)
	n.waitForLog(t, `msg="reload refused" reason="configuration: name `)
	if len(polled) != 0 {
		t.Error("the node polled the discovery of a configuration that it refused")
	}
	reloadWith(`"name":"book"`, `"name":"gift"`)
	n.waitForLog(t, `msg="reload refused" reason="configuration: a name in settings.classes `)
	reloadWith("{", otherDiscovery)
	if uri := <-polled; uri != "/registry/instances" {
		// Versions of different discovery services cannot be compared, so the first poll must not name a version.
		t.Errorf("first poll of the new discovery: got %s, want /registry/instances without a version", uri)
	}
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("open request: got status %d, want 200", got)
	}
	reloadWith(`"connect_timeout":75000000`, `"connect_timeout":1`) // a change of the settings alone
	n.waitForLog(t, "msg=reloaded")
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitForLog(t, "msg=draining")
	n.cmd.Process.Signal(syscall.SIGHUP)
	n.waitForLog(t, "msg=reloaded")
	n.waitForLog(t, "when=exit")
}

// TestReloadToIdempotentDuringCall checks that an open request stays non-idempotent when a reload makes its class
// idempotent. Because it may have run, the node must neither retry it nor answer that it was rejected.
func TestReloadToIdempotentDuringCall(t *testing.T) {
	s, held, release := newRuleChecker(), make(chan bool, 4), make(chan bool)
	heldHandler := s.recordingHandler("s-0", func(w http.ResponseWriter, r *http.Request) {
		held <- true
		<-release
		w.WriteHeader(http.StatusInternalServerError) // the request may have run
	})
	n := start(t, unchangedList, heldHandler, heldHandler)
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
		t.Errorf("got status %d, want 502", got)
	}
	n.shutdown(t)
	s.check(t)
}
