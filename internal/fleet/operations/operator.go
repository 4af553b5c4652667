package operations

import (
	"errors"
	"fmt"
	"time"

	"olivebridge/internal/maintenance"
)

const (
	// callTimeout limits the time for an operator's call, including all attempts at all voters.
	callTimeout = 900 * time.Millisecond
	// callRetryInterval is the pause between two attempts of a call.
	callRetryInterval = 50 * time.Millisecond
	// maxHold is the upper limit of a round's hold duration.
	maxHold = time.Hour
)

// Words of operators' calls.
const (
	wordStatus  = "STATUS"
	wordSuspend = "SUSPEND"
	wordRestore = "RESTORE"
	wordRound   = "ROUND"
	wordStop    = "STOP"
	wordAll     = "ALL" // all listed servers, as the servers of a round
)

var (
	errStarting = errors.New("the node is starting")
	errUsage    = errors.New("FLEET wants STATUS, SUSPEND id, RESTORE id, " +
		"ROUND name hold ALL, ROUND name hold id..., or STOP name")
)

// Execute executes an operator's call for the whole fleet, given the words after FLEET, and returns the answer. If it
// fails because no leader responded, the call may still have been executed. Calls are idempotent, so that the operator
// may repeat them.
func (s *Service) Execute(words []string) (string, error) {
	s.mu.Lock()
	control := s.control
	s.mu.Unlock()
	if control == nil {
		return "", errStarting
	}
	if len(words) == 1 && words[0] == wordStatus {
		return s.Status(), nil
	}
	c, err := s.parse(words, control)
	if err != nil {
		return "", err
	}
	return s.execute(c)
}

// execute sends a command to the leader and retries until the leader responds or callTimeout expires.
func (s *Service) execute(c *command) (string, error) {
	var lastErr error
	for end := time.Now().Add(callTimeout); time.Now().Before(end); time.Sleep(callRetryInterval) {
		resp, err := s.sendToLeader(request{Command: c})
		switch {
		case err != nil:
			lastErr = err
		case resp.Result.Rejection != "":
			return "", errors.New(resp.Result.Rejection)
		default:
			return resp.Result.Text, nil
		}
	}
	return "", fmt.Errorf("it may hold or not, say it again: %w", lastErr)
}

// parse converts the words of an operator's call into a command.
func (s *Service) parse(words []string, control ServerControl) (*command, error) {
	if len(words) < 2 {
		return nil, errUsage
	}
	word, rest := words[0], words[1:]
	if word == wordRound && len(rest) >= 3 {
		return s.parseRound(rest[0], rest[1], rest[2:], control)
	}
	if len(rest) != 1 {
		return nil, errUsage
	}
	name := rest[0]
	switch word {
	case wordSuspend:
		if !control.Known(name) {
			return nil, maintenance.UnknownServerError(name)
		}
		return &command{Suspend: &ServerRequest{Server: name, By: s.config.Name}}, nil
	case wordRestore:
		return &command{Restore: &ServerRequest{Server: name, By: s.config.Name}}, nil
	case wordStop:
		return &command{Stop: &StopRoundRequest{Key: name, Reason: "said at " + s.config.Name}}, nil
	}
	return nil, errUsage
}

func (s *Service) parseRound(key, holdText string, servers []string, control ServerControl) (*command, error) {
	hold, err := time.ParseDuration(holdText)
	if err != nil || hold < 0 || hold > maxHold {
		return nil, fmt.Errorf("hold: not a time from 0s to 1h: %q", holdText)
	}
	if len(servers) == 1 && servers[0] == wordAll {
		servers = control.Listed()
	}
	for _, server := range servers {
		if !control.Known(server) {
			return nil, maintenance.UnknownServerError(server)
		}
	}
	return &command{Begin: &BeginRoundRequest{Key: key, By: s.config.Name, Servers: servers, Hold: hold}}, nil
}
