package client

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
)

// segment is a part of a request that is written at once, and the pause after it.
type segment struct {
	bytes []byte
	pause time.Duration
}

// message is a request before it is encoded.
type message struct {
	method, target, version string
	fields                  []field
	body                    []byte
	chunked                 bool // the body is sent with chunked transfer encoding
	bodySeparate            bool // head and body are written separately
	splitHead               bool // the head is written in two parts
}

// field is one header field line. separator follows the name, suffix follows the value.
type field struct{ name, separator, value, suffix string }

// validMessage returns a request as the platform's clients send it.
func validMessage(class string, safe bool, id, tenant, key string, budget time.Duration, body []byte) *message {
	h := &message{method: "POST", target: "/api", version: "HTTP/1.1", body: body}
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

func (h *message) add(name, value string) { h.fields = append(h.fields, field{name, ": ", value, ""}) }

// encodeAttempt returns the segments of an attempt's request. budget is the time
// stated in X-Budget.
func encodeAttempt(t *attempt, budget time.Duration) []segment {
	r, c := t.request, t.request.group
	draws := figure.Stream(c.env.Seed, fmt.Sprintf("%s try %d form", r.name, r.attempts))
	spec := r.classConfig()
	size := min(figure.LogNormal(draws, float64(spec.Body), 0.6), maxBodyBytes-1)
	if spec.LongShare > 0 {
		long := figure.Stream(c.env.Seed, fmt.Sprintf("%s try %d long", r.name, r.attempts))
		if long.Float64() < spec.LongShare {
			size = min(figure.LogNormal(long, float64(spec.LongBody), 0.6), maxLongBodyBytes)
			t.lingerFor = longLingerDuration
			if spec.LongFor > 0 && long.Float64() < slowBodyShare {
				t.writeFor = figure.Seconds(long.Float64() * spec.LongFor.D().Seconds())
			}
		}
	}
	if spec.PartedShare > 0 && figure.Stream(c.env.Seed, fmt.Sprintf("%s try %d waits", r.name, r.attempts)).IntN(2) == 0 {
		t.lingerFor = longLingerDuration
	}
	body := requestBody(t.id, int(size))
	h := validMessage(spec.Name, spec.Safe, t.id, c.config.Tenant, r.key, budget, body)
	if r.attempts > 1 {
		h.add("X-Again", "1")
	}
	if t.fresh && draws.IntN(2) == 0 { // otherwise the client closes the connection without announcing it
		h.add("Connection", "close")
	}
	if t.unusual {
		for range 1 + draws.IntN(3) {
			unusualForms[draws.IntN(len(unusualForms))](h, draws)
		}
	}
	return slowSegments(h.segments(draws), t.writeFor)
}

// slowBodyShare is the share of long bodies that their clients write slowly.
const slowBodyShare = 0.5

// slowSegmentCount is the number of segments in which a request is written slowly.
const slowSegmentCount = 20

// slowSegments splits a request into segments that are written within the given time; 0: it stays as it is.
func slowSegments(request []segment, writeFor time.Duration) []segment {
	if writeFor == 0 {
		return request
	}
	var all []byte
	for _, part := range request {
		all = append(all, part.bytes...)
	}
	var slow []segment
	for part := range slices.Chunk(all, len(all)/slowSegmentCount+1) {
		slow = append(slow, segment{part, writeFor / slowSegmentCount})
	}
	return slow
}

// requestBody returns a body of n bytes that repeats the request's id.
func requestBody(id string, n int) []byte {
	if n <= 0 {
		return nil
	}
	line := "call=" + id + " "
	return []byte(strings.Repeat(line, n/len(line)+1)[:n])
}

// unusualForms change a request to a form that few clients use but HTTP/1.1 allows.
// Two groups of forms are left out: those that the RFCs let the receiver reject and
// net/http rejects (an empty line before the request line, bare line feeds), and
// those that the judge would have to parse along with the node (chunk extensions,
// trailers).
var unusualForms = []func(h *message, r *rand.Rand){
	func(h *message, r *rand.Rand) { // additional fields
		h.add("X-Call-Info", fmt.Sprintf("weight=%d,source=portal", r.IntN(9)))
		h.add("Accept", "*/*")
		h.add("User-Agent", "portal/"+strconv.Itoa(r.IntN(9)))
	},
	func(h *message, r *rand.Rand) { // additional end-to-end fields
		h.add("Accept-Encoding", "gzip, br;q=0.5")
		h.add("Cookie", "a=b; c=\"d\"")
		h.add("Traceparent", fmt.Sprintf("00-%032x-%016x-01", r.Uint64(), r.Uint64()))
	},
	func(h *message, r *rand.Rand) { // field names are case-insensitive
		i := r.IntN(len(h.fields))
		h.fields[i].name = strings.ToLower(h.fields[i].name)
	},
	func(h *message, _ *rand.Rand) {
		for i := range h.fields {
			h.fields[i].name = strings.ToUpper(h.fields[i].name)
		}
	},
	func(h *message, r *rand.Rand) { // white space around a value is not part of it
		i := r.IntN(len(h.fields))
		h.fields[i].separator, h.fields[i].suffix = ":"+strings.Repeat(" ", r.IntN(5))+"\t", strings.Repeat(" ", r.IntN(3))
	},
	func(h *message, r *rand.Rand) { h.fields[r.IntN(len(h.fields))].separator = ":" },
	func(h *message, r *rand.Rand) { // the order of fields is free
		r.Shuffle(len(h.fields), func(i, j int) { h.fields[i], h.fields[j] = h.fields[j], h.fields[i] })
	},
	func(h *message, r *rand.Rand) { h.add("X-Long", strings.Repeat("long ", 200+r.IntN(600))+".") },
	func(h *message, _ *rand.Rand) { h.add("X-Empty", "") },
	func(h *message, r *rand.Rand) { // other query parameters before and after the key
		path, query, found := strings.Cut(h.target, "?")
		if found {
			query += "&"
		}
		h.target = fmt.Sprintf("%s?page=%d&%ssort=", path, r.IntN(99), query)
	},
	func(h *message, _ *rand.Rand) { // an unnecessary escape does not change the key
		path, key, found := strings.Cut(h.target, "user=")
		if found && key[0] != '%' {
			h.target = fmt.Sprintf("%suser=%%%02X%s", path, key[0], key[1:])
		}
	},
	func(h *message, _ *rand.Rand) { h.chunked = len(h.body) > 0 },
	func(h *message, _ *rand.Rand) { h.bodySeparate = true },
	func(h *message, _ *rand.Rand) { h.splitHead = true },
	func(h *message, _ *rand.Rand) { // the client sends the body without waiting for the 100, or after a short pause
		if len(h.body) > 0 && !h.has("Expect") {
			h.bodySeparate = true
			h.add("Expect", "100-continue")
		}
	},
	func(h *message, _ *rand.Rand) {
		if !h.has("Connection") {
			h.add("Connection", "keep-alive")
		}
	},
	func(h *message, _ *rand.Rand) { // an explicit empty body
		if h.method == "GET" && !h.has("Content-Length") {
			h.add("Content-Length", "0")
		}
	},
}

func (h *message) has(name string) bool {
	for _, f := range h.fields {
		if strings.EqualFold(f.name, name) {
			return true
		}
	}
	return false
}

// maxSegmentPause is the longest pause between two segments of a request, in seconds.
const maxSegmentPause = 0.03

// segments frames the body and splits the request into the parts that are written at once.
func (h *message) segments(r *rand.Rand) []segment {
	body := h.body
	switch {
	case h.method == "GET":
	case h.chunked:
		h.add("Transfer-Encoding", "chunked")
		body = encodeChunks(body, r)
	default:
		h.add("Content-Length", strconv.Itoa(len(body)))
	}
	top := h.headBytes()
	pause := func() time.Duration { return figure.Seconds(figure.Uniform(r, 0, maxSegmentPause)) }
	var out []segment
	if h.splitHead {
		n := 1 + r.IntN(len(top)-1)
		out = append(out, segment{top[:n], pause()})
		top = top[n:]
	}
	if h.bodySeparate && len(body) > 0 {
		return append(out, segment{top, pause()}, segment{body, 0})
	}
	return append(out, segment{append(top, body...), 0})
}

// headBytes returns the encoded head.
func (h *message) headBytes() []byte {
	b := fmt.Appendf(nil, "%s %s %s\r\n", h.method, h.target, h.version)
	for _, f := range h.fields {
		b = fmt.Appendf(b, "%s%s%s%s\r\n", f.name, f.separator, f.value, f.suffix)
	}
	return append(b, "\r\n"...)
}

// encodeChunks returns the chunked transfer encoding of a body, with chunks of random sizes.
func encodeChunks(body []byte, r *rand.Rand) []byte {
	var out []byte
	for len(body) > 0 {
		n := 1 + r.IntN(len(body))
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}
