package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/fleet/callstore"
	"olivebridge/internal/fleet/fleetfile"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

// kept is the fleet's work as a front asks for it.
type kept struct {
	work  *callstore.Service
	again map[int]bool // classes of calls that are kept: whether they may run more than once
}

// keep makes the node's part in keeping work.
func (f *company) keep(c *protocol.Config, file *fleetfile.File, m *member.Config) (*kept, error) {
	k := &kept{again: map[int]bool{}}
	for _, name := range file.Work.Classes {
		class, known := c.NameIndex.Classes[name]
		if !known {
			return nil, fmt.Errorf("fleet file %s: work.classes: the configuration does not know %q", os.Getenv(protocol.EnvFleet), name)
		}
		k.again[class] = c.Settings.Classes[class].Idempotency == balancer.Idempotent
	}
	w := file.Work
	k.work = callstore.New(callstore.Config{Name: c.Name, Voters: raftlog.VoterSet{Edition: w.Edition, Names: w.Voters}, Directory: m.Directory, MaxOwners: w.Tries,
		Limits: callstore.Limits{Retention: w.WindowTime, MaxEntries: w.Most}, Log: m.Log, Record: m.Record,
		Dial: func(name string, channel byte, timeout time.Duration) (net.Conn, error) {
			return f.Service.Dial(name, channel, timeout)
		},
		NextView: func(ctx context.Context, after uint64) (*member.View, error) { return f.Service.Next(ctx, after) }})
	f.around(m, func(i member.Incarnation) { k.work.Start(i.Home, i.Number) }, k.work.Stop)
	f.serve(m, callstore.VotersChannel, k.work.ServeVoters)
	f.serve(m, callstore.CallsChannel, k.work.ServeCalls)
	return k, nil
}

// Keeper implements node.Fleet.
func (f *company) Keeper() transport.IdempotencyStore {
	if f.kept == nil {
		return nil
	}
	return f.kept
}

// Covers implements transport.IdempotencyStore.
func (k *kept) Covers(class int) bool {
	_, kept := k.again[class]
	return kept
}

var _ transport.IdempotencyStore = (*kept)(nil)

// Begin implements transport.IdempotencyStore.
func (k *kept) Begin(ctx context.Context, w transport.KeyedCall) transport.CallClaim {
	owner, ok := k.work.NewOwner()
	if !ok {
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	}
	mutant.Breakpoint("before-permission")
	v, err := k.work.Begin(ctx, callstore.BeginRequest{Key: w.Key, Fingerprint: w.Fingerprint, Owner: owner, Idempotent: k.again[w.Class]})
	switch {
	case err != nil || v.StoreFull || v.OwnersExhausted:
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	case v.KeyConflict:
		return transport.CallClaim{State: transport.CallKeyConflict}
	case v.Granted:
		mutant.Breakpoint("with-permission")
		return transport.CallClaim{State: transport.CallGranted, Finish: func(s transport.CallState, o *transport.StoredResponse) {
			k.end(w.Key, owner, s, o)
		}}
	case v.State == callstore.Answered:
		kept := transport.CallClaim{State: transport.CallAnswered}
		if o := v.Outcome; o != nil {
			kept.Response = &transport.StoredResponse{Status: o.Status, Header: http.Header(o.Header), Body: o.Body, Truncated: o.BodyOmitted}
		}
		return kept
	case v.State == callstore.Unknown:
		return transport.CallClaim{State: transport.CallOutcomeUnknown}
	case v.State == callstore.Free: // this very call was given up before
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	}
	return transport.CallClaim{State: transport.CallRunning}
}

func (k *kept) end(key string, owner callstore.Owner, s transport.CallState, o *transport.StoredResponse) {
	e := callstore.EndRequest{Key: key, Owner: owner, State: callstore.Unknown}
	switch {
	case s == transport.CallNotRun:
		e.State = callstore.Free
	case s == transport.CallAnswered && o != nil:
		e.State, e.Outcome = callstore.Answered, &callstore.Outcome{Status: o.Status, Header: o.Header, Body: o.Body, BodyOmitted: o.Truncated}
	}
	mutant.Breakpoint("answered")
	k.work.End(e)
	mutant.Breakpoint("recorded")
}
