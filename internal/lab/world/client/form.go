package client

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
)

// piece is bytes that are written at once, and the pause after them.
type piece struct {
	bytes []byte
	pause time.Duration
}

// head is a request before it is bytes.
type head struct {
	method, target, version string
	fields                  []field
	body                    []byte
	chunked                 bool // the body goes in chunks
	apart                   bool // head and body are written apart
	cut                     bool // the head is written in two, cut anywhere
}

// field is a line of a head. sep stands between name and value, end behind it.
type field struct{ name, sep, value, end string }

// lawful is a request as the platform's clients write it.
func lawful(class string, safe bool, id, tenant, key string, budget time.Duration, body []byte) *head {
	h := &head{method: "POST", target: "/api", version: "HTTP/1.1", body: body}
	if safe {
		h.method, h.body = "GET", nil
	}
	if key != "" {
		h.target += "?user=" + key
	}
	h.add("Host", "api.internal")
	h.add("X-Call-Id", id)
	h.add("X-Call-Class", class)
	if tenant != "" {
		h.add("X-Caller", tenant)
	}
	h.add("X-Budget", strconv.FormatFloat(budget.Seconds(), 'f', 3, 64))
	return h
}

func (h *head) add(name, value string) { h.fields = append(h.fields, field{name, ": ", value, ""}) }

// form is a try's bytes.
func form(t *try, budget time.Duration) []piece {
	r, c := t.of, t.of.crowd
	draws := figure.Stream(c.env.Seed, fmt.Sprintf("%s try %d form", r.name, r.tries))
	spec := r.spec()
	size := figure.LogNormal(draws, float64(spec.Body), 0.6)
	body := filler(t.id, int(min(size, mostBody-1)))
	h := lawful(spec.Name, spec.Safe, t.id, c.conf.Tenant, r.key, budget, body)
	if r.tries > 1 {
		h.add("X-Again", "1")
	}
	if t.fresh && draws.IntN(2) == 0 { // else the client closes it unannounced
		h.add("Connection", "close")
	}
	if t.odd {
		for range 1 + draws.IntN(3) {
			oddities[draws.IntN(len(oddities))](h, draws)
		}
	}
	return h.pieces(draws)
}

// filler is a body that names its request.
func filler(id string, n int) []byte {
	if n <= 0 {
		return nil
	}
	line := "call=" + id + " "
	return []byte(strings.Repeat(line, n/len(line)+1)[:n])
}

// oddities are forms that few clients use and HTTP/1.1 allows. Left out is what
// the RFCs leave to the receiver and net/http turns away: an empty line before
// the request line, and bare line feeds; and what a judge would have to read
// along with the node: chunk extensions, trailers.
var oddities = []func(h *head, r *rand.Rand){
	func(h *head, r *rand.Rand) { // further fields
		h.add("X-Call-Info", fmt.Sprintf("weight=%d,source=portal", r.IntN(9)))
		h.add("Accept", "*/*")
		h.add("User-Agent", "portal/"+strconv.Itoa(r.IntN(9)))
	},
	func(h *head, r *rand.Rand) { // fields that name nobody's hop
		h.add("Accept-Encoding", "gzip, br;q=0.5")
		h.add("Cookie", "a=b; c=\"d\"")
		h.add("Traceparent", fmt.Sprintf("00-%032x-%016x-01", r.Uint64(), r.Uint64()))
	},
	func(h *head, r *rand.Rand) { // names have no case
		i := r.IntN(len(h.fields))
		h.fields[i].name = strings.ToLower(h.fields[i].name)
	},
	func(h *head, _ *rand.Rand) {
		for i := range h.fields {
			h.fields[i].name = strings.ToUpper(h.fields[i].name)
		}
	},
	func(h *head, r *rand.Rand) { // white space round a value is none of it
		i := r.IntN(len(h.fields))
		h.fields[i].sep, h.fields[i].end = ":"+strings.Repeat(" ", r.IntN(5))+"\t", strings.Repeat(" ", r.IntN(3))
	},
	func(h *head, r *rand.Rand) { h.fields[r.IntN(len(h.fields))].sep = ":" },
	func(h *head, r *rand.Rand) { // any order
		r.Shuffle(len(h.fields), func(i, j int) { h.fields[i], h.fields[j] = h.fields[j], h.fields[i] })
	},
	func(h *head, r *rand.Rand) { h.add("X-Long", strings.Repeat("long ", 200+r.IntN(600))+".") },
	func(h *head, _ *rand.Rand) { h.add("X-Empty", "") },
	func(h *head, r *rand.Rand) { // other parameters round the key
		path, query, found := strings.Cut(h.target, "?")
		if found {
			query += "&"
		}
		h.target = fmt.Sprintf("%s?page=%d&%ssort=", path, r.IntN(99), query)
	},
	func(h *head, _ *rand.Rand) { // a key escaped without need is the same key
		path, key, found := strings.Cut(h.target, "user=")
		if found && key[0] != '%' {
			h.target = fmt.Sprintf("%suser=%%%02X%s", path, key[0], key[1:])
		}
	},
	func(h *head, _ *rand.Rand) { h.chunked = len(h.body) > 0 },
	func(h *head, _ *rand.Rand) { h.apart = true },
	func(h *head, _ *rand.Rand) { h.cut = true },
	func(h *head, _ *rand.Rand) { // the client waits for no answer to it, or only for a moment
		if len(h.body) > 0 && !h.has("Expect") {
			h.apart = true
			h.add("Expect", "100-continue")
		}
	},
	func(h *head, _ *rand.Rand) {
		if !h.has("Connection") {
			h.add("Connection", "keep-alive")
		}
	},
	func(h *head, _ *rand.Rand) { // an empty body, said so
		if h.method == "GET" && !h.has("Content-Length") {
			h.add("Content-Length", "0")
		}
	},
}

func (h *head) has(name string) bool {
	for _, f := range h.fields {
		if strings.EqualFold(f.name, name) {
			return true
		}
	}
	return false
}

// mostPause is the longest pause in the midst of a request.
const mostPause = 0.03

// pieces frames the body and cuts the request as it is written.
func (h *head) pieces(r *rand.Rand) []piece {
	body := h.body
	switch {
	case h.method == "GET":
	case h.chunked:
		h.add("Transfer-Encoding", "chunked")
		body = chunks(body, r)
	default:
		h.add("Content-Length", strconv.Itoa(len(body)))
	}
	top := h.bytes()
	pause := func() time.Duration { return figure.Seconds(figure.Uniform(r, 0, mostPause)) }
	var out []piece
	if h.cut {
		n := 1 + r.IntN(len(top)-1)
		out = append(out, piece{top[:n], pause()})
		top = top[n:]
	}
	if h.apart && len(body) > 0 {
		return append(out, piece{top, pause()}, piece{body, 0})
	}
	return append(out, piece{append(top, body...), 0})
}

// bytes is the head as it is written.
func (h *head) bytes() []byte {
	b := fmt.Appendf(nil, "%s %s %s\r\n", h.method, h.target, h.version)
	for _, f := range h.fields {
		b = fmt.Appendf(b, "%s%s%s%s\r\n", f.name, f.sep, f.value, f.end)
	}
	return append(b, "\r\n"...)
}

// chunks cuts a body into a few chunks.
func chunks(body []byte, r *rand.Rand) []byte {
	var out []byte
	for len(body) > 0 {
		n := 1 + r.IntN(len(body))
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}
