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

// TestInvalidEndpointLists: what discovery may answer to a watch from version 41, what is polled then, and which list
// counts. A cut list never does, however it is framed; one of an older version only where nothing newer was asked
// for.
func TestInvalidEndpointLists(t *testing.T) {
	const changes, whole = `{"version":%d,"full":false,"servers":[]}`, `{"version":%d,"full":true,"servers":[]}`
	cut := func(head, body string) string { // written raw, then reset
		return "HTTP/1.1 200 OK\r\n" + head + "\r\n" + body
	}
	list := fmt.Sprintf(changes, 42)
	const indented = "\n{\n\t\"version\" : 42,\n\t\"full\" : false,\n\t\"servers\" : [\n\t]\n}\n"
	for name, c := range map[string]struct {
		answers []string
		again   string // the version asked from in the second call
		told    string
	}{
		"older changes":               {[]string{fmt.Sprintf(changes, 40), fmt.Sprintf(whole, 42)}, "", "42 of kind 1"},
		"older whole list, stale":     {[]string{fmt.Sprintf(whole, 40), fmt.Sprintf(whole, 42)}, "", "42 of kind 1"},
		"numbered anew":               {[]string{fmt.Sprintf(whole, 3), fmt.Sprintf(whole, 3)}, "", "3 of kind 1"},
		"the same":                    {[]string{fmt.Sprintf(changes, 41)}, "", "41 of kind 0"},
		"a whole list":                {[]string{fmt.Sprintf(whole, 42)}, "", "42 of kind 1"},
		"indented":                    {[]string{indented}, "", "42 of kind 0"},
		"half, with length":           {[]string{cut("Content-Length: 40\r\n", list[:20]), list}, "41", "42 of kind 0"},
		"half, without length":        {[]string{cut("", list[:20]), list}, "41", "42 of kind 0"},
		"all, without length, reset":  {[]string{cut("", list), list}, "41", "42 of kind 0"},
		"reset before the head's end": {[]string{cut("", "")[:15], list}, "41", "42 of kind 0"},
	} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan string, 20)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked <- r.FormValue("after")
				a := c.answers[min(len(asked), len(c.answers))-1]
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
			var told []string
			w.Watch(ctx, func(g routing.EndpointList) {
				told = append(told, fmt.Sprintf("%d of kind %d", g.Version, g.Kind))
				stop()
			})
			if !slices.Equal(told, []string{c.told}) {
				t.Errorf("told %v, want %v", told, c.told)
			}
			from := []string{<-asked}
			for len(asked) > 0 {
				from = append(from, <-asked)
			}
			if want := []string{"41", c.again}[:len(c.answers)]; !slices.Equal(from, want) {
				t.Errorf("asked from %q, want %q", from, want)
			}
		})
	}
}
