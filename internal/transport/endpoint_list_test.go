package transport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// TestInvalidEndpointLists: a watch at version 41 receives responses of which most are unusable. The test checks
// the version in each request and the list that the watch accepts. A truncated list is never accepted, whatever its
// framing. A list of an older version is accepted only in response to a request for the complete list.
func TestInvalidEndpointLists(t *testing.T) {
	const delta, full = `{"version":%d,"full":false,"servers":[]}`, `{"version":%d,"full":true,"servers":[]}`
	cut := func(head, body string) string { // written as raw bytes, then the connection is reset
		return "HTTP/1.1 200 OK\r\n" + head + "\r\n" + body
	}
	list := fmt.Sprintf(delta, 42)
	const indented = "\n{\n\t\"version\" : 42,\n\t\"full\" : false,\n\t\"servers\" : [\n\t]\n}\n"
	for name, c := range map[string]struct {
		responses []string
		// secondVersion is the version in the second request; empty: the request asks for the complete list.
		secondVersion string
		accepted      string
	}{
		"older delta":                {[]string{fmt.Sprintf(delta, 40), fmt.Sprintf(full, 42)}, "", "version 42, kind 1"},
		"stale full list":            {[]string{fmt.Sprintf(full, 40), fmt.Sprintf(full, 42)}, "", "version 42, kind 1"},
		"versions restarted":         {[]string{fmt.Sprintf(full, 3), fmt.Sprintf(full, 3)}, "", "version 3, kind 1"},
		"same version":               {[]string{fmt.Sprintf(delta, 41)}, "", "version 41, kind 0"},
		"full list":                  {[]string{fmt.Sprintf(full, 42)}, "", "version 42, kind 1"},
		"indented":                   {[]string{indented}, "", "version 42, kind 0"},
		"truncated, length":          {[]string{cut("Content-Length: 40\r\n", list[:20]), list}, "41", "version 42, kind 0"},
		"truncated, no length":       {[]string{cut("", list[:20]), list}, "41", "version 42, kind 0"},
		"complete, no length, reset": {[]string{cut("", list), list}, "41", "version 42, kind 0"},
		"reset within the head":      {[]string{cut("", "")[:15], list}, "41", "version 42, kind 0"},
	} {
		t.Run(name, func(t *testing.T) {
			requested := make(chan string, 20)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requested <- r.FormValue("after")
				a := c.responses[min(len(requested), len(c.responses))-1]
				if strings.HasPrefix(a, "HTTP") {
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					conn.Write([]byte(a))
					conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
					return
				}
				w.Write([]byte(a))
			}))
			defer s.Close()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			w := NewEndpointWatcher(s.Listener.Addr().String(), protocol.NameIndex{}, 41, nil, slog.New(slog.DiscardHandler))
			var accepted []string
			w.Watch(ctx, func(g routing.EndpointList) {
				accepted = append(accepted, fmt.Sprintf("version %d, kind %d", g.Version, g.Kind))
				stop()
			})
			if !slices.Equal(accepted, []string{c.accepted}) {
				t.Errorf("accepted lists %v, want %v", accepted, c.accepted)
			}
			versions := []string{<-requested}
			for len(requested) > 0 {
				versions = append(versions, <-requested)
			}
			if want := []string{"41", c.secondVersion}[:len(c.responses)]; !slices.Equal(versions, want) {
				t.Errorf("requested changes since %q, want since %q", versions, want)
			}
		})
	}
}
