package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// confirmBudget is the give-up time of order-confirm.
	confirmBudget = 1500 * time.Millisecond
	// answerSlack is the time after a request's time within which its answer earns nothing, but is not lost (STANDING).
	answerSlack = 500 * time.Millisecond
)

// request is a request of a client.
type request struct {
	id     string
	class  string
	user   string
	budget time.Duration
	body   []byte // nil: GET
	key    string // Idempotency-Key; "": none
}

func newRequest(class, user string, budget time.Duration, body []byte) request {
	return request{id: fmt.Sprintf("%016x", rand.Uint64()), class: class, user: user, budget: budget, body: body}
}

// bytes returns the request as it is written to the connection.
func (r request) bytes() []byte {
	method, length := "GET", ""
	if r.body != nil {
		method, length = "POST", fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if r.key != "" {
		length += fmt.Sprintf("Idempotency-Key: \"%s\"\r\n", r.key)
	}
	head := fmt.Sprintf("%s /api?user=%s HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\n"+
		"X-Caller: ashby-dental\r\nX-Budget: %.3f\r\n%s\r\n", method, r.user, r.id, r.class, r.budget.Seconds(), length)
	return append([]byte(head), r.body...)
}

// client is a client with one connection to a node.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(n *node) (*client, error) {
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// answer is the final answer to a request.
type answer struct {
	status int
	at     time.Time // of its last byte
	reply  reply     // of a 200
}

// read reads an answer, until the given time at the latest.
func (c *client) read(until time.Time) (answer, error) {
	_ = c.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	a := answer{status: resp.StatusCode, at: time.Now()}
	if a.status == http.StatusOK {
		err = json.Unmarshal(body, &a.reply)
	}
	return a, err
}

// call sends a request in one piece and reads its answer.
func (c *client) call(r request) (answer, error) {
	if _, err := c.Write(r.bytes()); err != nil {
		return answer{}, err
	}
	return c.read(time.Now().Add(r.budget + 5*time.Second))
}

// closedByNode reports whether an error of a read means that the node has ended the connection.
func closedByNode(err error) bool {
	if err == nil {
		return false
	}
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "reset") || strings.Contains(text, "broken pipe")
}

// usersOf sends a short request for each of many users to a node, and returns the users by the server that answered.
func (c *caseRun) usersOf(n *node, count int) (map[string][]string, error) {
	cl, err := dial(n)
	if err != nil {
		return nil, err
	}
	defer func() { _ = cl.Close() }()
	users := map[string][]string{}
	for i := range count {
		user := fmt.Sprintf("user%02d", i)
		a, err := cl.call(newRequest("quote", user, 600*time.Millisecond, nil))
		if err != nil {
			return nil, fmt.Errorf("short request for %s: %w", user, err)
		}
		if a.status != http.StatusOK {
			return nil, fmt.Errorf("short request for %s: status %d", user, a.status)
		}
		users[a.reply.Server] = append(users[a.reply.Server], user)
	}
	return users, nil
}
