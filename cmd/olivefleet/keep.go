package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/fleet/agreed"
	"olivebridge/internal/fleet/fleetfile"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/work"
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

// kept is the fleet's work as a front asks for it.
type kept struct {
	work  *work.Service
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
	k.work = work.New(work.Config{Name: c.Name, Voters: agreed.Roster{Edition: w.Edition, Names: w.Voters}, Directory: m.Directory, Tries: w.Tries,
		Limits: work.Limits{Window: w.WindowTime, Most: w.Most}, Log: m.Log, Record: m.Record,
		Dial: func(name string, channel byte, timeout time.Duration) (net.Conn, error) {
			return f.Service.Dial(name, channel, timeout)
		},
		Next: func(ctx context.Context, after uint64) (*member.View, error) { return f.Service.Next(ctx, after) }})
	f.around(m, func(i member.Incarnation) { k.work.Up(i.Home, i.Number) }, k.work.Down)
	f.serve(m, work.VotersChannel, k.work.ServeVoters)
	f.serve(m, work.WorkChannel, k.work.ServeWork)
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
	owner, ok := k.work.Owner()
	if !ok {
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	}
	mutant.At("before-permission")
	v, err := k.work.Begin(ctx, work.Begin{Key: w.Key, Print: w.Fingerprint, Owner: owner, Again: k.again[w.Class]})
	switch {
	case err != nil || v.Full || v.Over:
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	case v.Other:
		return transport.CallClaim{State: transport.CallKeyConflict}
	case v.Yours:
		mutant.At("with-permission")
		return transport.CallClaim{State: transport.CallGranted, Finish: func(s transport.CallState, o *transport.StoredResponse) {
			k.end(w.Key, owner, s, o)
		}}
	case v.State == work.Answered:
		kept := transport.CallClaim{State: transport.CallAnswered}
		if o := v.Outcome; o != nil {
			kept.Response = &transport.StoredResponse{Status: o.Status, Header: http.Header(o.Header), Body: o.Body, Truncated: o.Long}
		}
		return kept
	case v.State == work.Unknown:
		return transport.CallClaim{State: transport.CallOutcomeUnknown}
	case v.State == work.Free: // this very call was given up before
		return transport.CallClaim{State: transport.CallStoreUnavailable}
	}
	return transport.CallClaim{State: transport.CallRunning}
}

func (k *kept) end(key string, owner work.Owner, s transport.CallState, o *transport.StoredResponse) {
	e := work.End{Key: key, Owner: owner, State: work.Unknown}
	switch {
	case s == transport.CallNotRun:
		e.State = work.Free
	case s == transport.CallAnswered && o != nil:
		e.State, e.Outcome = work.Answered, &work.Outcome{Status: o.Status, Header: o.Header, Body: o.Body, Long: o.Truncated}
	}
	mutant.At("answered")
	k.work.End(e)
	mutant.At("recorded")
}
