package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"

	"olivebridge/balancer"
	"olivebridge/internal/fleet/callstore"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

// callStore stores the outcomes of calls with an idempotency key in the fleet. It implements
// transport.IdempotencyStore.
type callStore struct {
	service *callstore.Service
	// idempotent is replaced when the configuration is reloaded. Calls keep the value with which they began.
	idempotent atomic.Pointer[idempotentClasses]
}

// idempotentClasses has an entry for each class whose calls are stored, by the position of the class. The value is
// whether a call of the class may run more than once.
type idempotentClasses map[int]bool

// newIdempotentClasses returns the entries for the named classes. It returns an error if the configuration lacks one of
// them.
func newIdempotentClasses(names []string, c *protocol.Config) (idempotentClasses, error) {
	classes := idempotentClasses{}
	for _, name := range names {
		class, known := c.NameIndex.Classes[name]
		if !known {
			return nil, fmt.Errorf("fleet file %s: work.classes: the configuration does not know %q",
				os.Getenv(protocol.EnvFleet), name)
		}
		classes[class] = c.Settings.Classes[class].Idempotency == balancer.Idempotent
	}
	return classes, nil
}

var _ transport.IdempotencyStore = (*callStore)(nil)

// addCallStore creates the service that stores calls. It returns an error if the configuration lacks one of the classes
// in the fleet file.
func (f *fleetNode) addCallStore(c *protocol.Config, m *member.Config) error {
	work := f.file.Work
	classes, err := newIdempotentClasses(work.Classes, c)
	if err != nil {
		return err
	}
	s := &callStore{}
	s.idempotent.Store(&classes)
	s.service = callstore.New(callstore.Config{
		Name:      c.Name,
		Voters:    raftlog.VoterSet{Edition: work.Edition, Names: work.Voters},
		Directory: m.Directory,
		MaxOwners: work.Tries,
		Limits:    callstore.Limits{Retention: work.WindowTime, MaxEntries: work.Most},
		Log:       m.Log,
		Record:    m.Record,
		Dial:      f.dial,
		NextView: func(ctx context.Context, after uint64) (*member.View, error) {
			return f.membership.Next(ctx, after)
		},
	})
	f.calls = s
	addService(m, func(i member.Incarnation) { s.service.Start(i.Home, i.Number) }, s.service.Stop)
	addChannel(m, callstore.VotersChannel, s.service.ServeVoters)
	addChannel(m, callstore.CallsChannel, s.service.ServeCalls)
	return nil
}

// Covers implements transport.IdempotencyStore.
func (s *callStore) Covers(class int) bool {
	_, covered := (*s.idempotent.Load())[class]
	return covered
}

// isIdempotent reports whether a call of a class that begins now may run more than once.
func (s *callStore) isIdempotent(class int) bool { return (*s.idempotent.Load())[class] }

// Begin implements transport.IdempotencyStore.
func (s *callStore) Begin(ctx context.Context, call transport.KeyedCall) transport.CallClaim {
	owner, ok := s.service.NewOwner()
	if !ok {
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	}
	mutant.Breakpoint("before-permission")
	result, err := s.service.Begin(ctx, callstore.BeginRequest{
		Key:         call.Key,
		Fingerprint: call.Fingerprint,
		Owner:       owner,
		Idempotent:  s.isIdempotent(call.Class),
	})
	if err != nil {
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	}
	switch {
	case result.StoreFull || result.OwnersExhausted:
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	case result.KeyConflict:
		return transport.CallClaim{State: transport.CallKeyConflict}
	case result.Granted:
		mutant.Breakpoint("with-permission")
		return transport.CallClaim{
			State: transport.CallGranted,
			Finish: func(state transport.CallState, response *transport.StoredResponse) {
				s.finish(call.Key, owner, state, response)
			},
		}
	}
	switch result.State {
	case callstore.Answered:
		return transport.CallClaim{State: transport.CallAnswered, Response: storedResponse(result.Outcome)}
	case callstore.Unknown:
		return transport.CallClaim{State: transport.CallOutcomeUnknown}
	case callstore.Free: // the same owner has already ended the call as not run
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	}
	return transport.CallClaim{State: transport.CallRunning}
}

// storedResponse converts the outcome of a call to a response; nil: the outcome has none.
func storedResponse(outcome *callstore.Outcome) *transport.StoredResponse {
	if outcome == nil {
		return nil
	}
	return &transport.StoredResponse{
		Status:    outcome.Status,
		Header:    http.Header(outcome.Header),
		Body:      outcome.Body,
		Truncated: outcome.BodyOmitted,
	}
}

// finish stores the final state of a call, with its response if the call was answered.
func (s *callStore) finish(
	key string, owner callstore.Owner, state transport.CallState, response *transport.StoredResponse,
) {
	end := callstore.EndRequest{Key: key, Owner: owner, State: callstore.Unknown}
	switch {
	case state == transport.CallNotRun:
		end.State = callstore.Free
	case state == transport.CallAnswered && response != nil:
		end.State = callstore.Answered
		end.Outcome = &callstore.Outcome{
			Status:      response.Status,
			Header:      response.Header,
			Body:        response.Body,
			BodyOmitted: response.Truncated,
		}
	}
	mutant.Breakpoint("answered")
	s.service.End(end)
	mutant.Breakpoint("recorded")
}
