package transport

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// TestCloseReasonsDocumented: every close reason is a constant and is listed on the on-call page.
func TestCloseReasonsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/ONCALL.md")
	if err != nil {
		t.Fatal(err)
	}
	constant := regexp.MustCompile(`reason\w+\s+closeReason = "([a-z-]+)"`)
	literal := regexp.MustCompile(`(?:setReason|closeFor|closeNow|closeConns|logEnd|noteReadError|cancelReason)\([^()]*"`)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		code, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range constant.FindAllSubmatch(code, -1) {
			found++
			if !bytes.Contains(page, []byte("| `"+string(m[1])+"` |")) {
				t.Errorf("reason %s is not on the on-call page", m[1])
			}
		}
		if m := literal.Find(code); m != nil {
			t.Errorf("%s: close reason is not a constant: %s", name, m)
		}
	}
	if found < 19 {
		t.Errorf("found %d close reasons in the code, want at least 19", found)
	}
}

// TestCloseReasons covers close reasons that no other test covers.
func TestCloseReasons(t *testing.T) {
	long, _ := startScriptedServer(t, "HTTP/1.1 500 X\r\nContent-Length: 100000\r\n\r\n")
	transport, log := newTestTransport(time.Second)
	transport.RoundTrip(t.Context(), newAttempt(long, "POST", "book"))
	log.waitFor("side=peer", "reason=oversize")
	addr, _, log := newTestFrontend(t, 10, nil)
	dialClient(t, addr).roundTrip(t, strings.Replace(readyRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	log.waitFor("side=client", "reason=node-closed")
	c := dialClient(t, addr)
	c.roundTrip(t, readyRequest)
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	log.waitFor("side=client", "reason=client-reset")
}
