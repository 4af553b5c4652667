package main

import (
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/settings"
	"olivebridge/internal/wire"
)

// instance hosts one balancer and adds the balancer's actions to the reply. It implements balancer.Host.
type instance struct {
	number   uint32
	reply    *wire.Reply
	balancer *balancer.Balancer // nil: the instance had a fault and ignores events
}

var _ balancer.Host = (*instance)(nil)

// start creates the instance's balancer from settings in the format of settings.DecodeText.
func (i *instance) start(text []byte, seed uint64, now balancer.Time) error {
	decoded, err := settings.DecodeText(text)
	if err != nil {
		return err
	}
	i.balancer, err = balancer.New(decoded, seed, now, i)
	return err
}

// handle passes an event to the balancer and reports whether its code is known. A malformed event is an error even if
// the instance ignores events.
func (i *instance) handle(now balancer.Time, event wire.Event) (known bool, err error) {
	switch event.Code() {
	case wire.EventEndpoints:
		return true, i.handleEndpoints(now, event)
	case wire.EventOutcome:
		return true, i.handleOutcome(now, event)
	case wire.EventHealthCheck:
		return true, i.handleHealthCheck(now, event)
	case wire.EventPeerMessage: // instances send no messages to each other
		_, _, err := event.PeerMessage()
		return true, err
	case wire.EventRequest, wire.EventFirstByte, wire.EventDisconnect, wire.EventTimer:
		if i.balancer != nil {
			i.handleSimple(now, event)
		}
		return true, nil
	}
	return false, nil
}

// handleSimple handles the events whose fields need no validation.
func (i *instance) handleSimple(now balancer.Time, event wire.Event) {
	switch event.Code() {
	case wire.EventRequest:
		i.balancer.HandleRequest(now, event.Request())
	case wire.EventFirstByte:
		i.balancer.HandleFirstByte(now, event.ID(), event.Attempt())
	case wire.EventDisconnect:
		i.balancer.HandleDisconnect(now, event.ID())
	case wire.EventTimer:
		i.balancer.HandleTimer(now, event.Ref())
	}
}

func (i *instance) handleEndpoints(now balancer.Time, event wire.Event) error {
	kind, err := event.UpdateKind()
	if err != nil {
		return err
	}
	endpoints, err := event.Endpoints()
	if err != nil {
		return err
	}
	if i.balancer != nil {
		i.balancer.HandleServers(now, kind, endpoints)
	}
	return nil
}

func (i *instance) handleOutcome(now balancer.Time, event wire.Event) error {
	outcome, err := event.Outcome()
	if err != nil {
		return err
	}
	if i.balancer != nil {
		i.balancer.HandleOutcome(now, outcome)
	}
	return nil
}

func (i *instance) handleHealthCheck(now balancer.Time, event wire.Event) error {
	result, err := event.HealthCheck()
	if err != nil {
		return err
	}
	if i.balancer != nil {
		i.balancer.HandleHealthCheck(now, result)
	}
	return nil
}

// Send implements balancer.Host. In the simulator, an attempt begins when it is sent, so its decision cannot expire,
// and it is abandoned at the client's deadline.
func (i *instance) Send(id balancer.RequestID, to balancer.ServerID, _ balancer.Time) {
	i.reply.Send(i.number, id, to, 0)
}

// Cancel implements balancer.Host.
func (i *instance) Cancel(id balancer.RequestID, attempt int) { i.reply.Cancel(i.number, id, attempt) }

// Reject implements balancer.Host.
func (i *instance) Reject(id balancer.RequestID, after time.Duration) {
	i.reply.Reject(i.number, id, after)
}

// Fail implements balancer.Host.
func (i *instance) Fail(id balancer.RequestID) { i.reply.Fail(i.number, id) }

// CheckHealth implements balancer.Host.
func (i *instance) CheckHealth(server balancer.ServerID) { i.reply.CheckHealth(i.number, server) }

// Watch implements balancer.Host.
func (i *instance) Watch() { i.reply.Watch(i.number, true) }

// SetTimer implements balancer.Host.
func (i *instance) SetTimer(after time.Duration, ref uint64) { i.reply.SetTimer(i.number, after, ref) }

// Log implements balancer.Host.
func (i *instance) Log(line string) { i.reply.Log(i.number, line) }
