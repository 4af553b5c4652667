package client

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// attack lets a rogue of a kind attack node n1 for a while.
func (l *lab) attack(kind string, rate float64) *Rogue {
	conf := world.Rogue{Name: "r1", Zone: "a", Kind: kind, Rate: rate, From: span(time.Second)}
	conf.For = span(2 * time.Second)
	r := NewRogue(conf, l.env(4))
	r.Start()
	l.until(3 * time.Second)
	return r
}

// Each kind sends what it should, after it has told the judge, and counts what comes of it.
func TestRogueKinds(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.Name, func(t *testing.T) {
			counts := func(do func(k *nodeConn, b []byte)) (got Results, heard map[string][]byte) {
				heard = map[string][]byte{}
				run(t, func(l *lab) {
					l.nodes[0].raw = func(k *nodeConn, b []byte) {
						this := func(s string) bool { return strings.HasPrefix(s, k.ID()+" ") }
						if told := slices.ContainsFunc(l.bad, this); told == kind.Twin {
							t.Errorf("%s told to be bad: %t", k.ID(), told)
						}
						heard[k.ID()] = append(heard[k.ID()], b...)
						do(k, b)
					}
					r := l.attack(kind.Name, 5)
					l.until(12 * time.Second)
					if got = r.Results(); !r.Quiet() || got.Begun < 5 {
						t.Errorf("after the end: quiet %t, %+v", r.Quiet(), got)
					}
					l.front.Stop()
					l.until(14 * time.Second)
					if l.net.OpenEnds != 0 || l.loop.Pending() != 0 {
						t.Errorf("%d ends open, %d events pending", l.net.OpenEnds, l.loop.Pending())
					}
				})
				return got, heard
			}
			leaves := kind.Name == "half-left" || kind.Name == "half-reset"
			got, heard := counts(func(*nodeConn, []byte) {})
			want := got.Ignored
			if leaves {
				want = got.Left
			} else if kind.Name == "half-closed" { // the node takes that for the client's end
				want = got.Closed
			}
			if want != got.Begun {
				t.Errorf("by a node that says nothing: %+v", got)
			}
			if kind.Name == "silent" {
				return
			}
			for id, b := range heard {
				if why := lawfulness(b); (why == "") != kind.Twin {
					t.Errorf("%s lawful, or not: %q: %.300q", id, why, b)
				}
			}
			if leaves {
				return
			}
			for _, c := range []struct {
				node string
				do   func(k *nodeConn, b []byte)
				n    func(Results) int
			}{
				{"errs", func(k *nodeConn, _ []byte) { k.answer(400, "") }, func(r Results) int { return r.Answered }},
				{"closes", func(k *nodeConn, _ []byte) { k.Close() }, func(r Results) int { return r.Closed }},
				{"serves", func(k *nodeConn, _ []byte) { k.answer(200, "") }, func(r Results) int { return r.Served }},
			} {
				if got, _ := counts(c.do); c.n(got) != got.Begun {
					t.Errorf("by a node that %s: %+v", c.node, got)
				}
			}
		})
	}
}

// Whatever is generated must be certain to be bad, and so must each edit by itself.
func TestEditsSpoil(t *testing.T) {
	env := &Env{Classes: classes, Tenants: []world.Tenant{{Name: "acme"}}}
	d := &draft{env: env, draws: figure.Stream(2, "test"), id: "bad-0123456789abcdef"}
	for range 200 {
		if why := lawfulness(whole(d.head())); why != "" {
			t.Fatalf("a draft is %s", why)
		}
	}
	seen := map[string]bool{}
	for range 6000 {
		var b []byte
		for _, s := range generated(d) {
			b = append(b, s.bytes...)
		}
		seen[d.why] = true
		if lawfulness(b) == "" {
			t.Fatalf("%s: lawful: %q", d.why, b)
		}
		if !bytes.Contains(b, []byte("bad-")) {
			t.Fatalf("%s: cannot be told: %q", d.why, b)
		}
	}
	if len(seen) != len(edits) {
		t.Errorf("%d of %d edits drawn", len(seen), len(edits))
	}
}

// lawfulness says what is bad about a request, as a strict reader sees it; "": nothing.
func lawfulness(b []byte) string {
	top, _, whole := bytes.Cut(b, []byte("\r\n\r\n"))
	if !whole {
		return "without end"
	}
	if bytes.ContainsAny(bytes.ReplaceAll(top, []byte("\r\n"), nil), "\r\n") {
		return "with bare ends of lines"
	}
	if regexp.MustCompile(`\r\n[ \t]`).Match(top) {
		return "folded"
	}
	target, _, _ := bytes.Cut(top, []byte("\r\n"))
	if !regexp.MustCompile(`^(GET|POST) /[!"$-.0-~][!"$-~]* HTTP/1\.1$`).Match(target) {
		return fmt.Sprintf("of an odd form: %q", target)
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
	if err != nil {
		return err.Error()
	}
	if _, err := r.URL.Parse(r.RequestURI); err != nil || strings.Contains(r.URL.RawQuery, "%") {
		return "badly escaped"
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) > mostBody || (len(body) > 0) != (r.Method == "POST") {
		return fmt.Sprintf("with an odd body: %v, %d bytes", err, len(body))
	}
	lines := bytes.ToLower(top)
	n := bytes.Count(lines, []byte("content-length:"))
	if n > 1 || n == 1 && bytes.Contains(lines, []byte("transfer-encoding:")) {
		return "with two lengths"
	}
	hosts := bytes.Count(lines, []byte("\r\nhost: api.internal"))
	if bytes.Contains(lines, []byte("\r\nconnection:")) || hosts != 1 {
		return "about another host, or the connection"
	}
	for name, form := range map[string]string{
		"X-Call-Id": `[\w-]+`, "X-Call-Class": "quote|confirm", "X-Caller": "acme", "X-Budget": `0\.[1-9]\d*`,
	} {
		if v := r.Header[name]; len(v) != 1 || !regexp.MustCompile("^("+form+")$").MatchString(v[0]) {
			return fmt.Sprintf("with %s %q", name, v)
		}
	}
	for name, v := range r.Header {
		if strings.ContainsAny(v[0], "\x00\x01\x1b\x7f") || !regexp.MustCompile(`^[\w-]+$`).MatchString(name) {
			return "with an odd field"
		}
	}
	if r.Host != "api.internal" || (r.Method == "GET") != (r.Header.Get("X-Call-Class") == "quote") {
		return "with the wrong method"
	}
	return ""
}

func TestUnknownRogueKind(t *testing.T) {
	defer func() {
		if p := recover(); p != `rogue "r1": unknown kind "nice"` {
			t.Errorf("says %v", p)
		}
	}()
	NewRogue(world.Rogue{Name: "r1", Kind: "nice"}, Env{})
}

// Twins carry one id, so close that the first is open when the second comes.
func TestTwins(t *testing.T) {
	run(t, func(l *lab) {
		at := map[string][]time.Duration{}
		l.nodes[0].raw = func(k *nodeConn, b []byte) {
			id := string(b[strings.Index(string(b), "Id: ")+4:][:20])
			at[id] = append(at[id], l.loop.Now())
		}
		l.attack("twin", 10)
		for id, some := range at {
			if len(some) != 2 || some[1]-some[0] > time.Millisecond {
				t.Errorf("%s came at %v", id, some)
			}
		}
		if len(at) < 5 {
			t.Errorf("%d attacks", len(at))
		}
	})
}
