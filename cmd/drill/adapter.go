package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"olivebridge/internal/wire"
)

// inputBufferSize is the size of the buffer of standard input, in bytes.
const inputBufferSize = 64 << 10

// run handles batches and writes a reply to each until the input ends.
func run(in io.Reader, out io.Writer) error {
	a := newAdapter()
	reader := bufio.NewReaderSize(in, inputBufferSize)
	for {
		err := a.batch.Read(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(out); err != nil {
			return err
		}
	}
}

// adapter holds the instances of the process. They share the buffers of the current batch and of its reply, and no
// other state.
type adapter struct {
	batch     wire.Frame
	reply     wire.Reply
	instances map[uint32]*instance // by number
}

func newAdapter() *adapter {
	return &adapter{instances: map[uint32]*instance{}}
}

// handleBatch passes the events of the current batch to their instances and writes the reply.
func (a *adapter) handleBatch(out io.Writer) error {
	for i := range a.batch.Count {
		if err := a.handle(a.batch.Event(i)); err != nil {
			return err
		}
	}
	if err := a.reply.Write(out, a.batch.Number); err != nil {
		return fmt.Errorf("batch %d: writing the reply: %w", a.batch.Number, err)
	}
	return nil
}

// handle passes one event to its instance. A panic becomes a fault of the instance.
func (a *adapter) handle(event wire.Event) error {
	number := event.Instance()
	return a.recoverPanic(number, func() error { return a.dispatch(number, event) })
}

// recoverPanic calls handle and reports a panic as a fault of the numbered instance. The instance is replaced by one
// without a balancer, which ignores all further events.
func (a *adapter) recoverPanic(number uint32, handle func() error) error {
	defer func() {
		if reason := recover(); reason != nil {
			a.reply.ReportFault(number, fmt.Sprint("panic: ", reason))
			a.instances[number] = &instance{number: number, reply: &a.reply}
		}
	}()
	return handle()
}

// dispatch starts or stops the numbered instance, or passes the event to it. An event of an unknown code or for an
// unknown instance is an error.
func (a *adapter) dispatch(number uint32, event wire.Event) error {
	if event.Code() == wire.EventStart {
		return a.start(number, event)
	}
	i := a.instances[number]
	if i == nil {
		return fmt.Errorf("batch %d: event %d for unknown instance %d", a.batch.Number, event.Code(), number)
	}
	if event.Code() == wire.EventStop {
		delete(a.instances, number)
		return nil
	}
	handled, err := i.handle(a.batch.Clock, event)
	if !handled {
		return fmt.Errorf("batch %d: unknown event code %d for instance %d", a.batch.Number, event.Code(), number)
	}
	return err
}

// start starts an instance and replaces one with the same number. Invalid settings are reported as a fault of the
// instance; an error is returned only for a malformed event.
func (a *adapter) start(number uint32, event wire.Event) error {
	text, err := event.Settings()
	if err != nil {
		return err
	}
	i := &instance{number: number, reply: &a.reply}
	a.instances[number] = i
	if err := i.start(text, event.Seed(), a.batch.Clock); err != nil {
		a.reply.ReportFault(number, err.Error())
	}
	return nil
}
