// Command drill hosts instances of the decision module on the simulator's
// wire: batches of events on standard input, one reply each on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/settings"
	"olivebridge/internal/wire"
)

func main() {
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := &hosts{instances: map[uint32]*instance{}}
	r := bufio.NewReaderSize(in, 1<<16)
	for {
		switch err := h.frame.Read(r); {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
		for i := range h.frame.Count {
			if err := h.handle(h.frame.Event(i)); err != nil {
				return err
			}
		}
		if err := h.reply.Write(out, h.frame.Number); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", h.frame.Number, err)
		}
	}
}

// hosts holds the instances of one process; they share the buffers of the pipe and nothing else.
type hosts struct {
	frame     wire.Frame
	reply     wire.Reply
	instances map[uint32]*instance
}

// handle gives one event to its instance. A panic there becomes that instance's give_in.
func (h *hosts) handle(e wire.Event) error {
	who := e.Instance()
	return h.guard(who, func() error { return h.route(who, e) })
}

func (h *hosts) guard(who uint32, f func() error) error {
	defer func() {
		if p := recover(); p != nil {
			h.reply.ReportFault(who, fmt.Sprint("panic: ", p))
			h.instances[who] = &instance{who: who, reply: &h.reply}
		}
	}()
	return f()
}

func (h *hosts) route(who uint32, e wire.Event) error {
	if e.Code() == wire.EventStart {
		return h.begin(e, who)
	}
	i := h.instances[who]
	if i == nil {
		return fmt.Errorf("batch %d: event %d for unknown instance %d", h.frame.Number, e.Code(), who)
	}
	if e.Code() == wire.EventStop {
		delete(h.instances, who)
		return nil
	}
	return i.event(h.frame.Clock, h.frame.Number, e)
}

func (h *hosts) begin(e wire.Event, who uint32) error {
	text, err := e.Settings()
	if err != nil {
		return err
	}
	i := &instance{who: who, reply: &h.reply}
	h.instances[who] = i
	set, err := settings.DecodeText(text)
	if err == nil {
		i.balancer, err = balancer.New(set, e.Ref(), h.frame.Clock, i)
	}
	if err != nil {
		h.reply.ReportFault(who, err.Error())
	}
	return nil
}

// instance is the balancer.Host of one instance. One that has given in holds no brain and passes all over.
type instance struct {
	who      uint32
	reply    *wire.Reply
	balancer *balancer.Balancer
}

func (i *instance) event(now balancer.Time, number uint32, e wire.Event) error {
	switch code := e.Code(); code {
	case wire.EventEndpoints:
		kind, err := e.UpdateKind()
		if err != nil {
			return err
		}
		entries, err := e.Endpoints()
		if err != nil {
			return err
		}
		if i.balancer != nil {
			i.balancer.HandleServers(now, kind, entries)
		}
	case wire.EventOutcome:
		o, err := e.Outcome()
		if err != nil {
			return err
		}
		if i.balancer != nil {
			i.balancer.HandleOutcome(now, o)
		}
	case wire.EventHealthCheck:
		p, err := e.HealthCheck()
		if err != nil {
			return err
		}
		if i.balancer != nil {
			i.balancer.HandleHealthCheck(now, p)
		}
	case wire.EventPeerMessage:
		_, _, err := e.PeerMessage()
		return err
	case wire.EventRequest, wire.EventFirstByte, wire.EventDisconnect, wire.EventTimer:
		if i.balancer == nil {
			return nil
		}
		switch code {
		case wire.EventRequest:
			i.balancer.HandleRequest(now, e.Request())
		case wire.EventFirstByte:
			i.balancer.HandleFirstByte(now, e.ID(), e.Attempt())
		case wire.EventDisconnect:
			i.balancer.HandleDisconnect(now, e.ID())
		default:
			i.balancer.HandleTimer(now, e.Ref())
		}
	default:
		return fmt.Errorf("batch %d: unknown event code %d for instance %d", number, code, i.who)
	}
	return nil
}

// Send implements balancer.Host. The wire has no question about what holds: its attempts begin as they are assigned.
func (i *instance) Send(id balancer.RequestID, to balancer.ServerID, _ balancer.Time) {
	i.reply.Send(i.who, id, to, 0)
}

// Cancel implements balancer.Host.
func (i *instance) Cancel(id balancer.RequestID, attempt int) { i.reply.Cancel(i.who, id, attempt) }

// Refuse implements balancer.Host.
func (i *instance) Reject(id balancer.RequestID, after time.Duration) {
	i.reply.Reject(i.who, id, after)
}

// Fail implements balancer.Host.
func (i *instance) Fail(id balancer.RequestID) { i.reply.Fail(i.who, id) }

// Probe implements balancer.Host.
func (i *instance) CheckHealth(to balancer.ServerID) { i.reply.CheckHealth(i.who, to) }

// Watch implements balancer.Host.
func (i *instance) Watch() { i.reply.Watch(i.who, true) }

// SetTimer implements balancer.Host.
func (i *instance) SetTimer(d time.Duration, ref uint64) { i.reply.SetTimer(i.who, d, ref) }

// Log implements balancer.Host.
func (i *instance) Log(line string) { i.reply.Log(i.who, line) }
